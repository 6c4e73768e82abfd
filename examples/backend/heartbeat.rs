//! Asks for the lease, again and again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agateyoke::grant::messages::{LeaseRequest, LeaseResponse, Misdirected};
use agateyoke::web::Client;
use agateyoke::web::json::{self, JsonError};
use agateyoke::{clock, timing};
use http::{Method, StatusCode};
use monoio::time;

use crate::server::Server;

/// Path of the question.
const PATH: &str = "/v1/lease";

/// Longest wait for an answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause after a question that nobody answered as its carrier.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 4 << 20;

/// What came of one question.
enum Asked {
    /// The lease was renewed.
    Renewed { again: bool },
    /// The server is drained and may stop.
    Drained,
    /// Another address is to be asked.
    Elsewhere(Option<SocketAddr>),
    /// No answer.
    Failed,
}

/// Keeps the lease until the server is drained.
pub(crate) async fn run(server: Rc<Server>) {
    let client = Client::new(ANSWER_BYTES);
    let mut turn = 0usize;
    let mut redirect = None;
    loop {
        let entries = &server.options.entry;
        let listed = entries.get(turn % entries.len().max(1)).copied();
        let Some(address) = redirect.take().or(listed) else {
            return;
        };
        let started = clock::now();
        let pause = match ask(&server, &client, address).await {
            Asked::Drained => return,
            Asked::Renewed { again } => {
                redirect = Some(address);
                let next = if again {
                    Duration::ZERO
                } else {
                    timing::HEARTBEAT_INTERVAL
                };
                (started + next).saturating_duration_since(clock::now())
            }
            Asked::Elsewhere(Some(other)) if other != address => {
                redirect = Some(other);
                RETRY_PAUSE
            }
            Asked::Elsewhere(_) | Asked::Failed => {
                turn += 1;
                RETRY_PAUSE
            }
        };
        server.asked.wait(pause).await;
        while server.mischief.mute.get() {
            time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn ask(server: &Server, client: &Client, address: SocketAddr) -> Asked {
    let sent = clock::now();
    let question = question(server, sent);
    let answer: Result<LeaseResponse, JsonError> =
        json::call(client, address, Method::POST, PATH, &question, ASK_TIMEOUT).await;
    match answer {
        Ok(answer) if answer.drained && question.draining => Asked::Drained,
        Ok(answer) => {
            let mut lease = server.lease.borrow_mut();
            let again = lease.renew(sent, clock::now(), answer.lease, &answer.grants);
            Asked::Renewed { again }
        }
        Err(JsonError::Status { status, body }) if status == StatusCode::MISDIRECTED_REQUEST => {
            let elsewhere = serde_json::from_slice::<Misdirected>(&body);
            Asked::Elsewhere(elsewhere.ok().and_then(|e| e.announce_address))
        }
        Err(_) => Asked::Failed,
    }
}

fn question(server: &Server, now: std::time::Instant) -> LeaseRequest {
    let options = &server.options;
    let mut lease = server.lease.borrow_mut();
    server.beat.set(server.beat.get() + 1);
    LeaseRequest {
        server: Arc::clone(&options.name),
        incarnation: Arc::clone(&server.incarnation),
        sequence: server.beat.get(),
        service: Arc::clone(&options.service),
        zone: Arc::clone(&options.zone),
        address: options.listen,
        slots: options.slots,
        checks_fences: options.checks,
        draining: server.draining.get(),
        outstanding_requests: server.mischief.busy.get().unwrap_or(server.busy()),
        held_grants: lease.holds(now),
        finishing_grants: lease.finishing(now),
    }
}
