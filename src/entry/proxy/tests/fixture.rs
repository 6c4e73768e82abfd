//! A proxy, fake owners that can be told what to do, and claim records.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use monoio::io::AsyncReadRent;
use monoio::net::TcpListener;
use monoio::time;
use serde_json::json;

use crate::admit::Limiters;
use crate::claim::desk::{self, Desk};
use crate::claim::store::Store;
use crate::clock;
use crate::control::peers::{ControlVm, Peers};
use crate::delegate::messages::{DocumentUpdate, WatchResponse};
use crate::delegate::view::View;
use crate::entry::proxy::{Parts, Proxy};
use crate::ids;
use crate::keys::Span;
use crate::route::messages::{PullResponse, Route, ServerInfo};
use crate::route::table::Table;
use crate::rpc::{self, Fault, error, server};
use crate::timeline::Journal;
use crate::web::{self, Limits, StopHandle};

/// Long enough for routes never to run out in a test.
const FAR: Duration = Duration::from_hours(1);

/// What a fake owner does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    Answer,
    Refuse(StatusCode, &'static str),
    /// Runs it and never answers on the connections that are open then.
    Silent,
    /// Runs it after a while.
    Slow(u64),
}

/// A fake owner.
#[derive(Clone)]
pub(super) struct Owner {
    pub(super) name: &'static str,
    pub(super) address: SocketAddr,
    pub(super) mode: Rc<Cell<Mode>>,
    /// Requests that ran.
    pub(super) ran: Rc<RefCell<Vec<(String, HeaderMap)>>>,
    /// Requests that were refused.
    pub(super) refused: Rc<Cell<usize>>,
}

impl Owner {
    fn new(name: &'static str) -> (TcpListener, Self) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let owner = Self {
            name,
            address: listener.local_addr().unwrap(),
            mode: Rc::new(Cell::new(Mode::Answer)),
            ran: Rc::default(),
            refused: Rc::default(),
        };
        (listener, owner)
    }

    /// An owner that runs its first requests and breaks their connections.
    pub(super) fn start_breaking(name: &'static str, count: usize) -> Self {
        let (listener, owner) = Self::new(name);
        let breaking = owner.clone();
        monoio::spawn(async move {
            for _ in 0..count {
                let (mut stream, _) = listener.accept().await.unwrap();
                let (read, _) = stream.read(vec![0u8; 4096]).await;
                assert!(read.unwrap() > 0);
                let run = (String::new(), HeaderMap::new());
                breaking.ran.borrow_mut().push(run);
            }
            breaking.serve(listener).await;
        });
        owner
    }

    pub(super) fn start(name: &'static str) -> Self {
        let (listener, owner) = Self::new(name);
        monoio::spawn(owner.clone().serve(listener));
        owner
    }

    async fn serve(self, listener: TcpListener) {
        let handler = move |request| self.clone().handle(request);
        web::serve(listener, Limits::default(), StopHandle::default(), handler).await;
    }

    async fn handle(self, request: Request<Bytes>) -> Response<Bytes> {
        let mode = self.mode.get();
        if let Mode::Refuse(status, reason) = mode {
            self.refused.set(self.refused.get() + 1);
            return Response::builder()
                .status(status)
                .header("agateyoke-refused", reason)
                .body(Bytes::new())
                .unwrap();
        }
        let path = request.uri().to_string();
        self.ran
            .borrow_mut()
            .push((path.clone(), request.headers().clone()));
        match mode {
            Mode::Silent => time::sleep(FAR).await,
            Mode::Slow(ms) => time::sleep(Duration::from_millis(ms)).await,
            Mode::Answer | Mode::Refuse(..) => {}
        }
        Response::builder()
            .header("x-own", "kept")
            .header("agateyoke-verdict", "made up")
            .header("keep-alive", "timeout=1")
            .body(format!("{} {path}", self.name).into())
            .unwrap()
    }

    /// Waits until a request runs.
    pub(super) async fn reached(&self) {
        while self.runs() == 0 {
            time::sleep(Duration::from_millis(1)).await;
        }
    }

    pub(super) fn runs(&self) -> usize {
        self.ran.borrow().len()
    }
}

/// A proxy and what it works with.
pub(super) struct World {
    pub(super) proxy: Proxy,
    pub(super) table: Table,
    /// Whether the control VM answers.
    pub(super) recording: Rc<Cell<bool>>,
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

impl World {
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
            drains: vec![],
        });
        let table = Table::default();
        table.add_zone(&"rota".into(), &"z".into());
        let recording = Rc::new(Cell::new(true));
        let journal = Journal::new("entry".into());
        let peers = Peers::new(&[records(Rc::clone(&recording))], &journal);
        let parts = Parts {
            view,
            table: table.clone(),
            gates: Rc::new(Limiters::default()),
            claims: Desk::new(peers),
            journal,
            observe: Box::new(|_| {}),
        };
        Self {
            proxy: Proxy::new(parts),
            table,
            recording,
            fences: Cell::new(100),
        }
    }

    /// Gives all keys to an owner, under a higher fence than any before.
    pub(super) fn give(&self, owner: Option<&Owner>) -> u64 {
        self.give_slots(owner, 4)
    }

    pub(super) fn give_slots(&self, owner: Option<&Owner>, slots: u32) -> u64 {
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
        let answer = PullResponse {
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
        assert!(self.table.apply("rota", "z", answer, clock::now() + FAR));
        fence
    }

    pub(super) async fn send(&self, method: &str, uri: &str, headers: &[(&str, &str)]) -> Reply {
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .header("host", "Rota:80");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Bytes::new()).unwrap();
        Reply::new(&self.proxy.handle(request).await)
    }

    pub(super) async fn get(&self, uri: &str) -> Reply {
        self.send("GET", uri, &[]).await
    }

    pub(super) async fn post(&self, uri: &str) -> Reply {
        self.send("POST", uri, &[]).await
    }
}

/// An answer as a test looks at it.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) verdict: String,
    pub(super) body: String,
    headers: HeaderMap,
}

impl Reply {
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

/// A control VM that keeps claim records, while it is told to.
fn records(recording: Rc<Cell<bool>>) -> ControlVm {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let store: Rc<RefCell<Store>> = Rc::default();
    let answer = move |method: Box<str>, body: Box<serde_json::value::RawValue>| {
        let (store, recording) = (Rc::clone(&store), Rc::clone(&recording));
        async move {
            if !recording.get() {
                return Err(Fault::new(error::NOT_LEADER, "no leader"));
            }
            if &*method == desk::LOOK {
                return server::encode_result(&store.borrow().look(&server::decode_params(&body)?));
            }
            server::encode_result(&store.borrow_mut().apply(server::decode_params(&body)?))
        }
    };
    monoio::spawn(rpc::serve(listener, Journal::new("control".into()), answer));
    ControlVm {
        vm: "control".into(),
        address,
    }
}
