//! Scripted backend server and caller for tests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use serde_json::Value;

use super::gateway;
use crate::fleet::updates::{RangeOwner, ServiceRanges, Updates};
use crate::fleet::{Incarnation, Server, ServerState};
use crate::gateway::{Gateway, caller};
use crate::table::{Destination, Idempotency, Limits, Patch, Route, Service, Table, Update};

/// Timeout of a test's step, far longer than any should take.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Step of a backend server after it has read a request.
#[derive(Clone, Debug)]
pub(super) enum Action {
    /// Sends these bytes; `ID` in them is replaced by the id of the request.
    Send(&'static str),
    /// Sends these bytes like [`Action::Send`] if the connection has carried a request before.
    SendOnReused(&'static str),
    /// Waits.
    Pause(Duration),
    /// Sends these bytes again and again until the other end closes the connection, with a pause
    /// between them.
    Flood(&'static str, Duration),
    /// Closes the connection.
    Close,
    /// Waits until the other end closes the connection.
    Wait,
}

/// Backend server that follows a script: a list of actions for each request.
#[derive(Clone)]
pub(super) struct MockBackend {
    pub(super) address: SocketAddr,
    /// Requests as received.
    pub(super) requests: Rc<RefCell<Vec<String>>>,
    /// Connections closed by the other end during [`Action::Wait`] or [`Action::Flood`].
    pub(super) disconnects: Rc<RefCell<u32>>,
    /// Bytes sent by [`Action::Flood`].
    pub(super) flooded: Rc<RefCell<usize>>,
}

impl MockBackend {
    pub(super) fn start(script: Vec<Vec<Action>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let backend = Self {
            address: listener.local_addr().unwrap(),
            requests: Rc::default(),
            disconnects: Rc::default(),
            flooded: Rc::default(),
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
        script: Rc<RefCell<std::vec::IntoIter<Vec<Action>>>>,
    ) {
        let mut text = String::new();
        let mut is_reused = false;
        while let Some(request) = read_message(&mut stream, &mut text).await {
            let id = header(&request, "x-request").unwrap_or_default();
            self.requests.borrow_mut().push(request);
            let Some(actions) = script.borrow_mut().next() else {
                return;
            };
            for action in actions {
                match action {
                    Action::SendOnReused(_) if !is_reused => {}
                    Action::Send(text) | Action::SendOnReused(text) => {
                        let bytes = text.replace("ID", &id).replace('\n', "\r\n");
                        if stream.write_all(bytes.into_bytes()).await.0.is_err() {
                            return;
                        }
                    }
                    Action::Pause(pause) => monoio::time::sleep(pause).await,
                    Action::Flood(text, pause) => {
                        let text = text.replace('\n', "\r\n");
                        while stream.write_all(text.clone().into_bytes()).await.0.is_ok() {
                            *self.flooded.borrow_mut() += text.len();
                            monoio::time::sleep(pause).await;
                        }
                        *self.disconnects.borrow_mut() += 1;
                        return;
                    }
                    Action::Close => return,
                    Action::Wait => {
                        let (read, _) = stream.read(vec![0_u8; 64]).await;
                        if !matches!(read, Ok(length) if length > 0) {
                            *self.disconnects.borrow_mut() += 1;
                            return;
                        }
                    }
                }
            }
            is_reused = true;
        }
    }
}

/// Reads one message with a content length, a chunked body, or no body.
pub(super) async fn read_message(stream: &mut TcpStream, text: &mut String) -> Option<String> {
    loop {
        if let Some(length) = message_length(text) {
            let rest = text.split_off(length);
            return Some(std::mem::replace(text, rest));
        }
        let reading = stream.read(vec![0_u8; 64 << 10]);
        let (read, bytes) = monoio::time::timeout(TIMEOUT, reading)
            .await
            .expect("no bytes in time");
        match read {
            Ok(length) if length > 0 => text.push_str(&String::from_utf8_lossy(&bytes[..length])),
            _ => return None,
        }
    }
}

fn message_length(text: &str) -> Option<usize> {
    let head = text.find("\r\n\r\n")? + 4;
    if header(&text[..head], "transfer-encoding").is_some() {
        return text[head..].find("0\r\n\r\n").map(|end| head + end + 5);
    }
    let length = header(&text[..head], "content-length");
    let length: usize = length.map_or(0, |l| l.parse().unwrap());
    (text.len() >= head + length).then_some(head + length)
}

/// Returns the value of a message's header.
pub(super) fn header(message: &str, name: &str) -> Option<String> {
    let line = message.lines().find(|l| {
        let start = l.get(..name.len()).unwrap_or_default();
        start.eq_ignore_ascii_case(name) && l[name.len()..].starts_with(':')
    })?;
    Some(line[name.len() + 1..].trim().to_owned())
}

/// Returns the status of a response.
pub(super) fn status_code(response: &str) -> u16 {
    response.split(' ').nth(1).unwrap().parse().unwrap()
}

/// Gateway that serves callers and routes to mock backend servers.
pub(super) struct Fixture {
    pub(super) gateway: Rc<Gateway>,
    pub(super) caller_address: SocketAddr,
}

pub(super) fn route(prefix: &str, idempotency: Idempotency, service: &str) -> Arc<Route> {
    Arc::new(Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        idempotency,
        timeout: Duration::from_secs(5),
        latency_target: Duration::from_millis(500),
        rank: 1,
        max_attempts: 2,
        destination: Destination::Service(service.into()),
        source: crate::table::Source::default(),
    })
}

fn service(name: &str, sharded: bool) -> Arc<Service> {
    Arc::new(Service {
        name: name.into(),
        max_connections: 100,
        sharded,
        delivery: crate::table::Delivery::Heartbeat,
        warmup: None,
        source: Value::Null,
    })
}

impl Fixture {
    /// Routes `/safe/` and `/once/` to backend servers without keys, and `/keyed/` and
    /// `/keyed-once/` to the first of them, which owns all keys of another service.
    pub(super) fn new(backends: &[&MockBackend]) -> Self {
        let gateway = gateway();
        let table = Table {
            version: 1,
            routes: vec![
                route("/safe/", Idempotency::Idempotent, "plain"),
                route("/once/", Idempotency::AtMostOnce, "plain"),
                route("/keyed/", Idempotency::Idempotent, "owned"),
                route("/keyed-once/", Idempotency::AtMostOnce, "owned"),
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
        let updates = Updates {
            index: 1,
            full: true,
            table: Some(update),
            servers,
            ranges: vec![owned_ranges(Some("owner"))],
            vms: Vec::new(),
            evacuations: Vec::new(),
        };
        gateway.routing.borrow_mut().apply(updates);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let caller_address = listener.local_addr().unwrap();
        let shared = Rc::clone(&gateway);
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(caller::serve(Rc::clone(&shared), stream));
            }
        });
        Self {
            gateway,
            caller_address,
        }
    }

    /// Applies a change of the table.
    pub(super) fn change_table(&self, patch: Patch) {
        let mut routing = self.gateway.routing.borrow_mut();
        let index = routing.index + 1;
        let update = Update {
            version: index,
            full: false,
            patch,
        };
        routing.apply(Updates {
            index,
            table: Some(update),
            ..Updates::default()
        });
    }

    pub(super) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.caller_address).await.unwrap()
    }

    /// Sends a request on a new connection and returns the response.
    pub(super) async fn request(&self, request: &str) -> String {
        let mut stream = self.connect().await;
        send_text(&mut stream, request).await;
        read_message(&mut stream, &mut String::new())
            .await
            .expect("no response")
    }
}

/// Update that names the owner of all keys of the service `owned`.
pub(super) fn owned_ranges(owner: Option<&str>) -> ServiceRanges {
    let range = RangeOwner {
        from: 0,
        to: u16::MAX,
        owner: owner.map(Into::into),
        moving: owner.is_none(),
    };
    ServiceRanges {
        service: "owned".into(),
        ranges: vec![range],
    }
}

/// Sends text with its line ends replaced by those of HTTP.
pub(super) async fn send_text(stream: &mut TcpStream, text: &str) {
    let bytes = text.replace('\n', "\r\n").into_bytes();
    stream.write_all(bytes).await.0.unwrap();
}

/// Waits until a condition holds.
pub(super) async fn wait_until<F>(condition: F)
where
    F: Fn() -> bool,
{
    let deadline = std::time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            std::time::Instant::now() < deadline,
            "condition not met in time"
        );
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}
