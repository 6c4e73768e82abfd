//! Arbitrary bytes in arbitrary pieces, by fixed seeds.

use arbtest::arbitrary::{Result, Unstructured};

use super::{LONG, assert_serves, echo, talk};
use crate::runtime;
use crate::web::Limits;

/// Seeds tried, one case each.
const SEEDS: u64 = 300;

/// Parts that reach deep into the parser when strung together.
const PARTS: &[&[u8]] = &[
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

fn bytes(u: &mut Unstructured<'_>) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    for _ in 0..u.int_in_range(1..=24)? {
        if u.ratio(1, 8)? {
            bytes.extend(u.arbitrary::<[u8; 4]>()?);
        } else {
            bytes.extend_from_slice(u.choose(PARTS)?);
        }
    }
    Ok(bytes)
}

fn pieces<'a>(u: &mut Unstructured<'_>, mut rest: &'a [u8]) -> Result<Vec<&'a [u8]>> {
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
fn no_bytes_end_the_server_or_reach_another_connection() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        arbtest::arbtest(|u| {
            let bytes = bytes(u)?;
            let pieces = pieces(u, &bytes)?;
            runtime::run(async {
                let short = std::time::Duration::from_millis(5);
                let (address, stop) = echo(Limits {
                    first_byte_timeout: short,
                    head_timeout: short,
                    body_timeout: short,
                    idle_timeout: short,
                    ..Limits::default()
                });
                let caller = monoio::spawn(async move { assert_serves(address).await });
                let answer = talk(address, &pieces).await;
                caller.await;
                assert!(!answer.contains("/fine"), "{answer}");
                assert!(
                    answer.is_empty() || answer.starts_with("HTTP/1.1 "),
                    "{answer}"
                );
                assert_serves(address).await;
                stop.stop();
                assert!(stop.wait_closed(LONG).await, "connections stay open");
            });
            Ok(())
        })
        .seed(seed);
    }
}
