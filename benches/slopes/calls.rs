//! Delivery of keys by calls, at the leader of a fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agateyoke::fleet::call_leases::{CallLeases, Run};
use agateyoke::fleet::due_calls;
use agateyoke::fleet::grant_client::{CallBody, CallFormat, GrantClient, Request};
use agateyoke::fleet::messages::GrantedRange;
use agateyoke::fleet::ranges::{AssignedRange, Move, RangeMap};
use agateyoke::fleet::{Incarnation, Key};
use agateyoke::runtime;
use http::HeaderName;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpListener;
use serde_json::json;

use super::{mean_us, print_line};

const LEASE: Duration = Duration::from_millis(3500);

/// Calls over loopback that are measured.
const CALL_COUNT: u32 = 5000;

/// Measures a look at what is due, the bookkeeping of a grant, and a call over loopback.
pub(crate) fn grants() {
    for (servers, ranges) in [(24, 16), (345, 3), (345, 16), (1000, 3)] {
        look_at_due(servers, ranges);
    }
    runtime::run(call_over_loopback());
}

fn incarnation(server: usize) -> Incarnation {
    Incarnation {
        server: format!("server-{server}").into(),
        start_ms: 1,
    }
}

/// Ranges of equal size, each owned by the next server in turn.
fn owned_ranges(servers: usize, per_server: usize) -> (RangeMap, Vec<(Incarnation, Run)>) {
    let mut map = RangeMap::default();
    let mut runs = Vec::new();
    let count = servers * per_server;
    let bound = |i: usize| i * 65536 / count;
    for i in 0..count {
        let to = |end: usize| Key::try_from(end).unwrap_or(Key::MAX);
        let (from, to) = (to(bound(i)), to(bound(i + 1) - 1));
        let next = incarnation(i % servers);
        let fence = 2 * i as u64 + 2;
        let moved = Move {
            from,
            to,
            next: next.clone(),
        };
        map.reassign(fence - 1, &[moved]);
        let token = None;
        map.assign(fence, &next, &[AssignedRange { from, to, token }]);
        runs.push((next, Run { from, to, fence }));
    }
    (map, runs)
}

fn look_at_due(servers: usize, per_server: usize) {
    let (map, runs) = owned_ranges(servers, per_server);
    let mut calls = CallLeases::default();
    let now = Instant::now();
    for (incarnation, run) in &runs {
        calls.record_sent(incarnation, *run, LEASE, now);
        calls.record_answered(incarnation, *run, now);
    }
    let due_us = mean_us(|| due_calls::due(&map, &calls, |_| true, now).len());
    let mut next = runs.iter().cycle();
    let record_us = mean_us(|| {
        let Some((incarnation, run)) = next.next() else {
            return;
        };
        calls.record_sent(incarnation, *run, LEASE, now);
        calls.record_answered(incarnation, *run, now);
    });
    print_line(json!({
        "part": "calls", "servers": servers, "ranges_per_server": per_server,
        "due_us": due_us, "record_us": record_us,
    }));
}

async fn call_over_loopback() {
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
        return;
    };
    let Ok(address) = listener.local_addr() else {
        return;
    };
    monoio::spawn(answer_calls(listener));
    let format = CallFormat {
        grant: |range, duration| CallBody {
            path: "/grant",
            body: json!({
                "from": range.from, "to": range.to, "fence": range.fence,
                "lease": format!("{}ms", duration.as_millis()),
            })
            .to_string()
            .into_bytes(),
        },
        release: |_| CallBody {
            path: "/release",
            body: Vec::new(),
        },
        expected_server: HeaderName::from_static("x-expected"),
        request_id: HeaderName::from_static("x-request"),
        token: HeaderName::from_static("x-token"),
    };
    let client = GrantClient::default();
    let started = Instant::now();
    for _ in 0..CALL_COUNT {
        send(&client, &format, address).await;
    }
    let call_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(CALL_COUNT);
    print_line(json!({ "part": "calls", "call_us": super::round(call_us) }));
}

async fn send(client: &GrantClient, format: &CallFormat, address: SocketAddr) {
    let range = GrantedRange {
        from: 4096,
        to: 8191,
        fence: 12,
        token: Some(Arc::from("5c0e7a21d94b36f8")),
    };
    let request = Request {
        format,
        address,
        incarnation: &incarnation(1),
        call: (format.grant)(&range, LEASE),
    };
    client.send_grant(request, || true).await;
}

/// Answers each block of bytes, which is a whole call here.
async fn answer_calls(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        loop {
            let (read, bytes) = stream.read(vec![0_u8; 1024]).await;
            if !matches!(read, Ok(1..)) {
                break;
            }
            let call = String::from_utf8_lossy(&bytes);
            let id = call.lines().find(|l| l.starts_with("x-request: "));
            let id = id.unwrap_or("x-request: none");
            let response = format!("HTTP/1.1 200 OK\r\n{id}\r\nContent-Length: 0\r\n\r\n");
            if stream
                .write_all(response.as_bytes().to_vec())
                .await
                .0
                .is_err()
            {
                break;
            }
        }
    }
}
