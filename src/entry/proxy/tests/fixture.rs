//! A proxy, fake owners whose behavior tests choose, and claim records.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};
use monoio::time;
use serde_json::json;

use crate::admit::Limiters;
use crate::claim::client::{self, ClaimClient};
use crate::claim::store::Store;
use crate::clock;
use crate::control::leader_client::{ControlVm, LeaderClient};
use crate::delegate::messages::{DocumentUpdate, WatchResponse};
use crate::delegate::view::View;
use crate::entry::proxy::{Proxy, ProxyContext};
use crate::ids;
use crate::keys::Span;
use crate::route::messages::{PullResponse, Route, ServerInfo};
use crate::route::table::Table;
use crate::rpc::{self, Fault, error, server};
use crate::timeline::Journal;
use crate::web::{self, Limits, StopHandle};

/// Duration that ends after every test.
const FAR_FUTURE: Duration = Duration::from_hours(1);

/// What a fake owner does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Behavior {
    Respond,
    Refuse(StatusCode, &'static str),
    /// Runs the request and never responds.
    Silent,
    /// Runs the request and responds after this time in milliseconds.
    Slow(u64),
}

/// Fake owner.
#[derive(Clone)]
pub(super) struct FakeOwner {
    pub(super) name: &'static str,
    pub(super) address: SocketAddr,
    pub(super) behavior: Rc<Cell<Behavior>>,
    /// URIs and headers of the requests that ran.
    pub(super) requests: Rc<RefCell<Vec<(String, HeaderMap)>>>,
    /// Number of requests that were refused.
    pub(super) refused: Rc<Cell<usize>>,
    /// Whether responses say that the owner leaves.
    pub(super) leaving: Rc<Cell<bool>>,
    /// Seconds for which refusals ask for no requests.
    pub(super) retry_after: Rc<Cell<Option<u64>>>,
}

impl FakeOwner {
    fn new(name: &'static str) -> (TcpListener, Self) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let owner = Self {
            name,
            address: listener.local_addr().unwrap(),
            behavior: Rc::new(Cell::new(Behavior::Respond)),
            requests: Rc::default(),
            refused: Rc::default(),
            leaving: Rc::default(),
            retry_after: Rc::default(),
        };
        (listener, owner)
    }

    /// Starts an owner that runs its first `count` requests and closes their
    /// connections without a response.
    pub(super) fn start_disconnecting(name: &'static str, count: usize) -> Self {
        let (listener, owner) = Self::new(name);
        let failing = owner.clone();
        monoio::spawn(async move {
            for _ in 0..count {
                let (mut stream, _) = listener.accept().await.unwrap();
                let (read, _) = stream.read(vec![0u8; 4096]).await;
                assert!(read.unwrap() > 0);
                let run = (String::new(), HeaderMap::new());
                failing.requests.borrow_mut().push(run);
            }
            failing.serve(listener).await;
        });
        owner
    }

    pub(super) fn start(name: &'static str) -> Self {
        let (listener, owner) = Self::new(name);
        monoio::spawn(owner.clone().serve(listener));
        owner
    }

    /// Starts an owner that refuses every second request, and sends each refusal again when the next
    /// request comes on its connection.
    pub(super) fn start_copying(name: &'static str, reason: &'static str) -> Self {
        let (listener, owner) = Self::new(name);
        let copying = owner.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(copying.clone().serve_copying(stream, reason));
            }
        });
        owner
    }

    async fn serve_copying(self, mut stream: TcpStream, reason: &'static str) {
        let refusal =
            format!("HTTP/1.1 503 No\r\nagateyoke-refused: {reason}\r\ncontent-length: 0\r\n\r\n");
        let mut copy = String::new();
        while let (Ok(1..), _) = stream.read(vec![0u8; 4096]).await {
            let mut bytes = std::mem::take(&mut copy);
            if self.refused.get() <= self.run_count() {
                self.refused.set(self.refused.get() + 1);
                bytes.push_str(&refusal);
                copy.clone_from(&refusal);
            } else {
                let run = (String::new(), HeaderMap::new());
                self.requests.borrow_mut().push(run);
                bytes.push_str("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown");
            }
            if stream.write_all(bytes.into_bytes()).await.0.is_err() {
                return;
            }
        }
    }

    async fn serve(self, listener: TcpListener) {
        let handler = move |request| self.clone().handle(request);
        web::serve(listener, Limits::default(), StopHandle::default(), handler).await;
    }

    async fn handle(self, request: Request<Bytes>) -> Response<Bytes> {
        let behavior = self.behavior.get();
        if let Behavior::Refuse(status, reason) = behavior {
            self.refused.set(self.refused.get() + 1);
            let mut response = Response::builder()
                .status(status)
                .header("agateyoke-refused", reason);
            if let Some(seconds) = self.retry_after.get() {
                response = response.header("retry-after", seconds);
            }
            return response.body(Bytes::new()).unwrap();
        }
        let path = request.uri().to_string();
        self.requests
            .borrow_mut()
            .push((path.clone(), request.headers().clone()));
        match behavior {
            Behavior::Silent => time::sleep(FAR_FUTURE).await,
            Behavior::Slow(ms) => time::sleep(Duration::from_millis(ms)).await,
            Behavior::Respond | Behavior::Refuse(..) => {}
        }
        let mut response = Response::builder();
        if self.leaving.get() {
            response = response.header("agateyoke-leaving", "1");
        }
        response
            .header("x-own", "kept")
            .header("agateyoke-verdict", "made up")
            .header("keep-alive", "timeout=1")
            .body(format!("{} {path}", self.name).into())
            .unwrap()
    }

    /// Waits until a request has run.
    pub(super) async fn wait_for_request(&self) {
        while self.run_count() == 0 {
            time::sleep(Duration::from_millis(1)).await;
        }
    }

    pub(super) fn run_count(&self) -> usize {
        self.requests.borrow().len()
    }
}

/// Proxy under test, with its routes and claim records.
pub(super) struct Harness {
    pub(super) proxy: Proxy,
    pub(super) table: Table,
    /// Whether the control VM with the claim records has a leader.
    pub(super) records_available: Rc<Cell<bool>>,
    fences: Cell<u64>,
}

pub(super) fn document() -> serde_json::Value {
    let route = |name: &str, method: &str, path: &str, repeat: &str, ms: u64| {
        json!({
            "name": name, "method": method, "path": path, "key": "path:key",
            "rank": "high", "repeat": repeat, "deadline_ms": ms,
        })
    };
    json!({
        "service": "rota",
        "ranks": ["high", "low"],
        "routes": [
            route("look", "GET", "/look/{key}", "idempotent", 2000),
            route("brief", "GET", "/brief/{key}", "idempotent", 150),
            route("once", "POST", "/once/{key}", "once", 2000),
            route("hasty", "POST", "/hasty/{key}", "once", 150),
            route("claim", "POST", "/claim/{key}", "claim", 2000),
            json!({
                "name": "tag", "method": "GET", "path": "/tag", "key": "header:x-tag",
                "rank": "low", "repeat": "idempotent", "deadline_ms": 2000,
            }),
        ],
        "limits": { "body_bytes": 1000, "queue": 8, "queue_ms": 1000, "retry_percent": 10 },
    })
}

impl Harness {
    pub(super) fn start() -> Self {
        let view: Rc<View> = Rc::default();
        view.apply(WatchResponse {
            index: 1,
            documents: vec![DocumentUpdate {
                version: 1,
                change: "c".into(),
                document: serde_json::from_value(document()).unwrap(),
            }],
            delegations: vec![],
            entry_vms: vec![],
            removed_vms: vec![],
            all_vms: false,
            drains: vec![],
        });
        let table = Table::default();
        table.add_zone(&"rota".into(), &"z".into());
        let records_available = Rc::new(Cell::new(true));
        let journal = Journal::new("entry".into());
        let control_vms = LeaderClient::new(
            &[start_claim_records(Rc::clone(&records_available))],
            &journal,
        );
        let context = ProxyContext {
            view,
            table: table.clone(),
            limiters: Rc::new(Limiters::default()),
            claims: ClaimClient::new(control_vms),
            journal,
            on_response: Box::new(|_| {}),
        };
        Self {
            proxy: Proxy::new(context),
            table,
            records_available,
            fences: Cell::new(100),
        }
    }

    /// Assigns all keys to an owner, under a higher fence than any before.
    pub(super) fn assign(&self, owner: Option<&FakeOwner>) -> u64 {
        self.assign_with_slots(owner, 4)
    }

    pub(super) fn assign_with_slots(&self, owner: Option<&FakeOwner>, slots: u32) -> u64 {
        let fence = self.fences.get() + 1;
        self.fences.set(fence);
        let info = owner.map(|owner| ServerInfo {
            server: owner.name.into(),
            incarnation: owner.name.into(),
            address: owner.address,
            slots,
            checks_fences: true,
            warm_percent: 100,
        });
        let response = PullResponse {
            number: fence,
            epoch: 1,
            version: fence,
            is_full: true,
            routes: vec![Route {
                span: Span::ALL,
                fence,
                server: info.as_ref().map(|i| ids::ServerName::clone(&i.server)),
            }],
            servers: info.into_iter().collect(),
            ..PullResponse::default()
        };
        assert!(
            self.table
                .apply("rota", "z", response, clock::now() + FAR_FUTURE)
        );
        fence
    }

    pub(super) async fn send(
        &self,
        method: &str,
        uri: &str,
        headers: &[(&str, &str)],
    ) -> TestResponse {
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .header("host", "Rota:80");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Bytes::new()).unwrap();
        TestResponse::new(&self.proxy.handle(request).await)
    }

    pub(super) async fn get(&self, uri: &str) -> TestResponse {
        self.send("GET", uri, &[]).await
    }

    pub(super) async fn post(&self, uri: &str) -> TestResponse {
        self.send("POST", uri, &[]).await
    }
}

/// Response that a caller got.
#[derive(Debug)]
pub(super) struct TestResponse {
    pub(super) status: u16,
    pub(super) verdict: String,
    pub(super) body: String,
    headers: HeaderMap,
}

impl TestResponse {
    fn new(response: &Response<Bytes>) -> Self {
        let headers = response.headers().clone();
        Self {
            status: response.status().as_u16(),
            verdict: headers["agateyoke-verdict"].to_str().unwrap().into(),
            body: String::from_utf8_lossy(response.body()).into(),
            headers,
        }
    }

    pub(super) fn is(&self, status: u16, verdict: &str) -> bool {
        self.status == status && self.verdict == verdict
    }

    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(|v| v.to_str().unwrap())
    }
}

/// Starts a control VM that keeps claim records while `records_available` is set.
fn start_claim_records(records_available: Rc<Cell<bool>>) -> ControlVm {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let store: Rc<RefCell<Store>> = Rc::default();
    let handler = move |method: Box<str>, body: Box<serde_json::value::RawValue>| {
        let (store, records_available) = (Rc::clone(&store), Rc::clone(&records_available));
        async move {
            if !records_available.get() {
                return Err(Fault::new(error::NOT_LEADER, "no leader"));
            }
            if &*method == client::LOOKUP_METHOD {
                return server::encode_result(
                    &store.borrow().lookup(&server::decode_params(&body)?),
                );
            }
            server::encode_result(&store.borrow_mut().apply(server::decode_params(&body)?))
        }
    };
    monoio::spawn(rpc::serve(
        listener,
        Journal::new("control".into()),
        handler,
    ));
    ControlVm {
        vm: "control".into(),
        address,
    }
}
