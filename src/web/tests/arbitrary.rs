//! Property test: arbitrary bytes in arbitrary pieces, with fixed seeds.

use arbtest::arbitrary::{Result, Unstructured};

use super::{WAIT_TIMEOUT, assert_serves, exchange, start_echo_server};
use crate::runtime;
use crate::web::Limits;

/// One case for each seed.
const SEED_COUNT: u64 = 300;

/// Fragments that reach deep into the parser when combined.
const FRAGMENTS: &[&[u8]] = &[
    b"GET /",
    b"POST /",
    b"mark",
    b" HTTP/1.1\r\n",
    b" HTTP/1.0\r\n",
    b"host: a\r\n",
    b"\r\n",
    b"\r\n\r\n",
    b"\n",
    b"content-length: ",
    b"transfer-encoding: chunked\r\n",
    b"5",
    b"0\r\n",
    b"ffffffffffffffff",
    b"hello",
    b"expect: 100-continue\r\n",
    b"x:\r\n",
    b": ",
    b"\0",
    b"\xff",
    b"%zz",
    b"connection: close\r\n",
];

fn arbitrary_bytes(u: &mut Unstructured<'_>) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    for _ in 0..u.int_in_range(1..=24)? {
        if u.ratio(1, 8)? {
            bytes.extend(u.arbitrary::<[u8; 4]>()?);
        } else {
            bytes.extend_from_slice(u.choose(FRAGMENTS)?);
        }
    }
    Ok(bytes)
}

fn split_into_pieces<'a>(u: &mut Unstructured<'_>, mut rest: &'a [u8]) -> Result<Vec<&'a [u8]>> {
    let mut pieces = Vec::new();
    while !rest.is_empty() && pieces.len() < 6 {
        let (piece, tail) = rest.split_at(u.int_in_range(1..=rest.len())?);
        pieces.push(piece);
        rest = tail;
    }
    pieces.push(rest);
    Ok(pieces)
}

#[test]
fn arbitrary_bytes_neither_stop_the_server_nor_reach_another_connection() {
    for seed in 0..SEED_COUNT {
        println!("seed {seed}");
        arbtest::arbtest(|u| {
            let bytes = arbitrary_bytes(u)?;
            let pieces = split_into_pieces(u, &bytes)?;
            runtime::run(async {
                let short = std::time::Duration::from_millis(5);
                let (address, stop) = start_echo_server(Limits {
                    first_byte_timeout: short,
                    head_timeout: short,
                    body_timeout: short,
                    idle_timeout: short,
                    ..Limits::default()
                });
                let caller = monoio::spawn(async move { assert_serves(address).await });
                let response = exchange(address, &pieces).await;
                caller.await;
                assert!(!response.contains("/fine"), "{response}");
                assert!(
                    response.is_empty() || response.starts_with("HTTP/1.1 "),
                    "{response}"
                );
                assert_serves(address).await;
                stop.stop();
                assert!(
                    stop.wait_closed(WAIT_TIMEOUT).await,
                    "connections stay open"
                );
            });
            Ok(())
        })
        .seed(seed);
    }
}
