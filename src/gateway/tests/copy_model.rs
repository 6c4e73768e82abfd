//! Random mixes of answers, rejections and late second copies, with ids that repeat.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::AsyncWriteRentExt;
use monoio::net::{TcpListener, TcpStream};

use super::mock::{Fixture, MockBackend, header, read_message, send_text, status_code};
use crate::runtime;

/// Requests of one seed.
const REQUESTS: u32 = 60;

/// Seeds that run in CI.
const SEEDS: std::ops::Range<u64> = 0..20;

/// Server that rejects some requests and sends some answers twice, the second copy when the next
/// request has come or a moment later.
struct CopyingServer {
    random: RefCell<fastrand::Rng>,
    /// Number of runs of each request, by its sequence number.
    runs: RefCell<HashMap<String, u32>>,
    copies: RefCell<u32>,
}

impl CopyingServer {
    fn start(seed: u64) -> (MockBackend, Rc<Self>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut backend = MockBackend::start(Vec::new());
        backend.address = listener.local_addr().unwrap();
        let server = Rc::new(Self {
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
            runs: RefCell::default(),
            copies: RefCell::default(),
        });
        let shared = Rc::clone(&server);
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(Rc::clone(&shared).serve(stream));
            }
        });
        (backend, server)
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut text = String::new();
        let mut copy = None;
        while let Some(request) = read_message(&mut stream, &mut text).await {
            let answer = self.answer(&request);
            let (pause, copied) = {
                let mut random = self.random.borrow_mut();
                (random.u64(0..4), random.u8(0..4) == 0)
            };
            let mut bytes: String = copy.take().unwrap_or_default();
            if !bytes.is_empty() {
                *self.copies.borrow_mut() += 1;
            }
            if pause == 0 {
                bytes.push_str(&answer);
            } else {
                let written = stream.write_all(bytes.into_bytes()).await.0;
                monoio::time::sleep(Duration::from_millis(pause)).await;
                bytes = if written.is_ok() {
                    answer.clone()
                } else {
                    break;
                };
            }
            if stream.write_all(bytes.into_bytes()).await.0.is_err() {
                break;
            }
            copy = copied.then_some(answer);
        }
    }

    /// Runs or rejects a request; an answer tells the sequence number of the request that ran.
    fn answer(&self, request: &str) -> String {
        let sequence = header(request, "x-sequence").unwrap();
        let id = header(request, "x-request").map(|id| format!("x-request: {id}\r\n"));
        let id = id.unwrap_or_default();
        if self.random.borrow_mut().u8(0..3) == 0 {
            return format!(
                "HTTP/1.1 429 No\r\n{id}x-refused: 1\r\nx-load: 0,0,4\r\ncontent-length: 0\r\n\r\n"
            );
        }
        *self.runs.borrow_mut().entry(sequence.clone()).or_default() += 1;
        let length = sequence.len();
        format!(
            "HTTP/1.1 200 OK\r\n{id}x-signature: s\r\ncontent-length: {length}\r\n\r\n{sequence}"
        )
    }
}

async fn run(seed: u64) {
    let (backend, server) = CopyingServer::start(seed);
    let fixture = Fixture::new(&[&backend]);
    let mut random = fastrand::Rng::with_seed(!seed);
    for sequence in 0..REQUESTS {
        let id = match random.u32(0..8) {
            0 => String::new(),
            id => format!("x-request: {id}\n"),
        };
        let request = format!(
            "POST /keyed-once/1 HTTP/1.1\nhost: h\nx-key: 5\n{id}x-sequence: {sequence}\nx-deadline: 4000\n\n"
        );
        let mut caller = fixture.connect().await;
        send_text(&mut caller, &request).await;
        let response = read_message(&mut caller, &mut String::new()).await.unwrap();
        let runs = server.runs.borrow().get(&sequence.to_string()).copied();
        let case = format!("seed {seed}, request {sequence}, {runs:?} runs: {response}");
        match status_code(&response) {
            200 => {
                assert!(response.ends_with(&format!("\r\n\r\n{sequence}")), "{case}");
                assert_eq!(runs, Some(1), "{case}");
            }
            503 => assert_eq!(runs, None, "{case}"),
            status => assert_eq!(status, 502, "{case}"),
        }
    }
    assert!(*server.copies.borrow() > 0, "seed {seed} sent no copies");
}

/// Guards against copies of answers that reach another request, or hide that a request ran.
#[test]
fn copies_of_answers_reach_no_request_whatever_ids_repeat() {
    for seed in SEEDS {
        runtime::run(run(seed));
    }
}
