//! Second copies of responses to grants.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderName;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

use crate::fleet::Incarnation;
use crate::fleet::call_leases::Run;
use crate::fleet::grant_client::{CallBody, CallFormat, CallOutcome, GrantClient, Request};
use crate::fleet::messages::GrantedRange;
use crate::runtime;

/// Grants of one seed.
const GRANTS: u32 = 40;

/// Seeds that run in CI.
const SEEDS: std::ops::Range<u64> = 0..10;

/// Server that applies or refuses each grant and sends some responses twice, the second copy when
/// the next call has come.
struct CopyingServer {
    random: RefCell<fastrand::Rng>,
    /// Whether responses repeat the id of their call.
    has_ids: bool,
    /// Whether the last grant that arrived was applied; `None` if it was not answered.
    applied: Cell<Option<bool>>,
    connections: Cell<u32>,
    copies: Cell<u32>,
}

impl CopyingServer {
    fn start(seed: u64, has_ids: bool) -> (SocketAddr, Rc<Self>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = Rc::new(Self {
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
            has_ids,
            applied: Cell::default(),
            connections: Cell::default(),
            copies: Cell::default(),
        });
        let shared = Rc::clone(&server);
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.connections.set(shared.connections.get() + 1);
                monoio::spawn(Rc::clone(&shared).serve(stream));
            }
        });
        (address, server)
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut copy: Option<String> = None;
        loop {
            let (read, bytes) = stream.read(vec![0_u8; 4096]).await;
            let Ok(length @ 1..) = read else { return };
            let call = String::from_utf8_lossy(&bytes[..length]).into_owned();
            let id = call.lines().find_map(|l| l.strip_prefix("x-request: "));
            let id = id.filter(|_| self.has_ids);
            let id = id.map_or_else(String::new, |id| format!("x-request: {id}\r\n"));
            let kind = self.random.borrow_mut().u8(0..64);
            if let Some(copy) = copy.take() {
                self.copies.set(self.copies.get() + 1);
                if stream.write_all(copy.into_bytes()).await.0.is_err() {
                    return;
                }
            }
            if kind == 0 {
                // The copy is all that arrives for this call.
                self.applied.set(None);
                continue;
            }
            let applied = kind > 16;
            self.applied.set(Some(applied));
            let status = if applied { "200 OK" } else { "409 Conflict" };
            let response = format!("HTTP/1.1 {status}\r\n{id}content-length: 0\r\n\r\n");
            copy = Some(response.clone()).filter(|_| self.random.borrow_mut().bool());
            if stream.write_all(response.into_bytes()).await.0.is_err() {
                return;
            }
        }
    }
}

fn format() -> CallFormat {
    CallFormat {
        grant: |_: &GrantedRange, _: Duration| body(),
        release: |_: &Run| body(),
        expected_server: HeaderName::from_static("x-expected"),
        request_id: HeaderName::from_static("x-request"),
        token: HeaderName::from_static("x-token"),
    }
}

fn body() -> CallBody {
    CallBody {
        path: "/grant",
        body: b"{}".to_vec(),
    }
}

async fn run(seed: u64, has_ids: bool) {
    let (address, server) = CopyingServer::start(seed, has_ids);
    let client = GrantClient::default();
    let format = format();
    let incarnation = Incarnation {
        server: "a".into(),
        start_ms: 1,
    };
    let mut unanswered = 0;
    for grant in 0..GRANTS {
        let request = Request {
            format: &format,
            address,
            incarnation: &incarnation,
            call: body(),
        };
        server.applied.set(None);
        let outcome = client.send_grant(request, || true).await;
        let case = format!("seed {seed}, ids {has_ids}, grant {grant}: {outcome:?}");
        match (server.applied.get(), outcome) {
            (Some(true), CallOutcome::Done(_)) | (Some(false), CallOutcome::Refused(_)) => {}
            (None, CallOutcome::Unanswered) => unanswered += 1,
            (applied, _) => panic!("{case}, applied {applied:?}"),
        }
    }
    let (connections, copies) = (server.connections.get(), server.copies.get());
    let case = format!("seed {seed}: {connections} connections, {copies} copies");
    if has_ids {
        assert!(connections < GRANTS && copies > 0, "{case}");
    } else {
        assert!(connections >= GRANTS - unanswered, "{case}");
    }
}

/// Guards against a copy of a response that counts for the next grant: keys of a server that
/// holds them would be taken for free.
#[test]
fn a_late_copy_is_not_the_response_to_the_next_grant() {
    for seed in SEEDS {
        runtime::run(run(seed, true));
        runtime::run(run(seed, false));
    }
}
