//! A backend server and a caller whose every byte a test writes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use serde_json::Value;

use super::gate;
use crate::fleet::updates::{RangeOwner, ServiceRanges, Updates};
use crate::fleet::{Incarnation, Server, ServerState};
use crate::gateway::{Gate, caller};
use crate::table::{Destination, Idempotency, Limits, Patch, Route, Service, Table, Update};

/// Far more than any step takes; a test fails loudly after it.
const LIMIT: Duration = Duration::from_secs(20);

/// What a backend server does when it has read a request.
#[derive(Clone, Debug)]
pub(super) enum Does {
    /// Sends these bytes; `ID` in them stands for the id of the request.
    Sends(&'static str),
    /// Closes the connection.
    Closes,
    /// Waits until the other end closes the connection.
    Waits,
}

/// A backend server that does one thing after another, a list for each request.
#[derive(Clone)]
pub(super) struct Backend {
    pub(super) address: SocketAddr,
    /// Requests as they arrived.
    pub(super) got: Rc<RefCell<Vec<String>>>,
    /// Connections that the other end has closed while the server waited.
    pub(super) left: Rc<RefCell<u32>>,
}

impl Backend {
    pub(super) fn start(script: Vec<Vec<Does>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let backend = Self {
            address: listener.local_addr().unwrap(),
            got: Rc::default(),
            left: Rc::default(),
        };
        let script = Rc::new(RefCell::new(script.into_iter()));
        let shared = backend.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(shared.clone().serve(stream, Rc::clone(&script)));
            }
        });
        backend
    }

    async fn serve(
        self,
        mut stream: TcpStream,
        script: Rc<RefCell<std::vec::IntoIter<Vec<Does>>>>,
    ) {
        let mut text = String::new();
        while let Some(request) = read(&mut stream, &mut text).await {
            let id = header(&request, "x-request").unwrap_or_default();
            self.got.borrow_mut().push(request);
            let Some(list) = script.borrow_mut().next() else {
                return;
            };
            for does in list {
                match does {
                    Does::Sends(text) => {
                        let bytes = text.replace("ID", &id).replace('\n', "\r\n");
                        if stream.write_all(bytes.into_bytes()).await.0.is_err() {
                            return;
                        }
                    }
                    Does::Closes => return,
                    Does::Waits => {
                        let (read, _) = stream.read(vec![0_u8; 64]).await;
                        if !matches!(read, Ok(length) if length > 0) {
                            *self.left.borrow_mut() += 1;
                            return;
                        }
                    }
                }
            }
        }
    }
}

/// Reads one message with a length, with chunks, or without a body.
pub(super) async fn read(stream: &mut TcpStream, text: &mut String) -> Option<String> {
    loop {
        if let Some(length) = whole(text) {
            let rest = text.split_off(length);
            return Some(std::mem::replace(text, rest));
        }
        let work = stream.read(vec![0_u8; 64 << 10]);
        let (read, bytes) = monoio::time::timeout(LIMIT, work)
            .await
            .expect("no bytes in time");
        match read {
            Ok(length) if length > 0 => text.push_str(&String::from_utf8_lossy(&bytes[..length])),
            _ => return None,
        }
    }
}

fn whole(text: &str) -> Option<usize> {
    let head = text.find("\r\n\r\n")? + 4;
    if header(&text[..head], "transfer-encoding").is_some() {
        return text[head..].find("0\r\n\r\n").map(|end| head + end + 5);
    }
    let length = header(&text[..head], "content-length");
    let length: usize = length.map_or(0, |l| l.parse().unwrap());
    (text.len() >= head + length).then_some(head + length)
}

/// A header of a message.
pub(super) fn header(message: &str, name: &str) -> Option<String> {
    let line = message.lines().find(|l| {
        let start = l.get(..name.len()).unwrap_or_default();
        start.eq_ignore_ascii_case(name) && l[name.len()..].starts_with(':')
    })?;
    Some(line[name.len() + 1..].trim().to_owned())
}

/// Status of an answer.
pub(super) fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

/// A gate that serves callers, and routes to some backend servers.
pub(super) struct World {
    pub(super) gate: Rc<Gate>,
    pub(super) callers: SocketAddr,
}

fn route(prefix: &str, repeat: Idempotency, service: &str) -> Arc<Route> {
    Arc::new(Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        idempotency: repeat,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(500),
        rank: 1,
        max_attempts: 2,
        destination: Destination::Service(service.into()),
        source: Value::Null,
    })
}

fn service(name: &str, owned: bool) -> Arc<Service> {
    Arc::new(Service {
        name: name.into(),
        max_connections: 100,
        sharded: owned,
        source: Value::Null,
    })
}

impl World {
    /// Routes `/safe/` and `/once/` to backend servers without keys, and `/keyed/` to the
    /// first of them, which holds all keys of another service.
    pub(super) fn new(backends: &[&Backend]) -> Self {
        let gate = gate();
        let table = Table {
            version: 1,
            routes: vec![
                route("/safe/", Idempotency::Idempotent, "plain"),
                route("/once/", Idempotency::AtMostOnce, "plain"),
                route("/keyed/", Idempotency::Idempotent, "owned"),
            ],
            services: vec![service("plain", false), service("owned", true)],
            limits: Limits::default(),
        };
        let server = |name: String, service: &str, address| {
            Arc::new(Server {
                incarnation: Incarnation {
                    server: name.into(),
                    start_ms: 1,
                },
                service: service.into(),
                address,
                zone: "near".into(),
                slots: 4,
                state: ServerState::Ready,
                warmup: Duration::ZERO,
            })
        };
        let plain = backends.iter().enumerate();
        let mut servers: Vec<_> = plain
            .map(|(i, b)| server(format!("plain-{i}"), "plain", b.address))
            .collect();
        if let Some(first) = backends.first() {
            servers.push(server("owner".into(), "owned", first.address));
        }
        let update = Update {
            version: 1,
            full: true,
            patch: Patch {
                routes: table.routes,
                services: table.services,
                limits: Some(table.limits),
                ..Patch::default()
            },
        };
        let news = Updates {
            index: 1,
            full: true,
            table: Some(update),
            servers,
            ranges: vec![holders(Some("owner"))],
            vms: Vec::new(),
        };
        gate.known.borrow_mut().take(news);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let callers = listener.local_addr().unwrap();
        let shared = Rc::clone(&gate);
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(caller::serve(Rc::clone(&shared), stream));
            }
        });
        Self { gate, callers }
    }

    pub(super) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.callers).await.unwrap()
    }

    /// Sends a request on a connection of its own and gives the answer.
    pub(super) async fn ask(&self, request: &str) -> String {
        let mut stream = self.connect().await;
        send(&mut stream, request).await;
        read(&mut stream, &mut String::new())
            .await
            .expect("no answer")
    }
}

/// Who holds all keys of the service `owned`.
pub(super) fn holders(holder: Option<&str>) -> ServiceRanges {
    let row = RangeOwner {
        from: 0,
        to: u16::MAX,
        owner: holder.map(Into::into),
        moving: holder.is_none(),
    };
    ServiceRanges {
        service: "owned".into(),
        ranges: vec![row],
    }
}

/// Sends text with the line ends of the protocol.
pub(super) async fn send(stream: &mut TcpStream, text: &str) {
    let bytes = text.replace('\n', "\r\n").into_bytes();
    stream.write_all(bytes).await.0.unwrap();
}

/// Waits until something holds.
pub(super) async fn until<F>(holds: F)
where
    F: Fn() -> bool,
{
    let end = std::time::Instant::now() + LIMIT;
    while !holds() {
        assert!(std::time::Instant::now() < end, "it never held");
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}
