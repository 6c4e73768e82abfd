//! Heartbeats that renew the lease.

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

/// Path of the requests that carry heartbeats.
const LEASE_PATH: &str = "/v1/lease";

const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause after a heartbeat that didn't reach the primary.
const RETRY_DELAY: Duration = Duration::from_millis(10);

const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Outcome of one heartbeat.
enum HeartbeatOutcome {
    /// The lease was renewed; `changed` is true if the grants differ from those before.
    Renewed { changed: bool },
    /// The server is drained and may stop.
    Drained,
    /// Another entry VM is the primary, with its address if known.
    Redirected(Option<SocketAddr>),
    /// No valid response.
    NoResponse,
}

/// Renews the lease until the server is drained.
pub(crate) async fn run(server: Rc<Server>) {
    let client = Client::new(MAX_RESPONSE_BYTES);
    let mut attempt = 0usize;
    let mut redirect = None;
    loop {
        let entries = &server.options.entry;
        let configured = entries.get(attempt % entries.len().max(1)).copied();
        let Some(address) = redirect.take().or(configured) else {
            return;
        };
        let started = clock::now();
        let pause = match send_heartbeat(&server, &client, address).await {
            HeartbeatOutcome::Drained => return,
            HeartbeatOutcome::Renewed { changed } => {
                redirect = Some(address);
                let interval = if changed {
                    Duration::ZERO
                } else {
                    timing::HEARTBEAT_INTERVAL
                };
                (started + interval).saturating_duration_since(clock::now())
            }
            HeartbeatOutcome::Redirected(Some(other)) if other != address => {
                redirect = Some(other);
                RETRY_DELAY
            }
            HeartbeatOutcome::Redirected(_) | HeartbeatOutcome::NoResponse => {
                attempt += 1;
                RETRY_DELAY
            }
        };
        server.heartbeat_due.wait(pause).await;
        while server.faults.mute.get() {
            time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn send_heartbeat(server: &Server, client: &Client, address: SocketAddr) -> HeartbeatOutcome {
    let sent = clock::now();
    let request = lease_request(server, sent);
    let response: Result<LeaseResponse, JsonError> = json::call(
        client,
        address,
        Method::POST,
        LEASE_PATH,
        &request,
        HEARTBEAT_TIMEOUT,
    )
    .await;
    match response {
        Ok(response) if response.drained && request.draining => HeartbeatOutcome::Drained,
        Ok(response) => {
            let mut lease = server.lease.borrow_mut();
            let changed = lease.renew(sent, clock::now(), response.lease, &response.grants);
            HeartbeatOutcome::Renewed { changed }
        }
        Err(JsonError::Status { status, body }) if status == StatusCode::MISDIRECTED_REQUEST => {
            let redirect = serde_json::from_slice::<Misdirected>(&body);
            HeartbeatOutcome::Redirected(redirect.ok().and_then(|e| e.announce_address))
        }
        Err(_) => HeartbeatOutcome::NoResponse,
    }
}

fn lease_request(server: &Server, now: std::time::Instant) -> LeaseRequest {
    let options = &server.options;
    let mut lease = server.lease.borrow_mut();
    server.sequence.set(server.sequence.get() + 1);
    LeaseRequest {
        server: Arc::clone(&options.name),
        incarnation: Arc::clone(&server.incarnation),
        sequence: server.sequence.get(),
        service: Arc::clone(&options.service),
        zone: Arc::clone(&options.zone),
        address: options.listen,
        slots: options.slots,
        checks_fences: options.checks,
        draining: server.draining.get(),
        outstanding_requests: server.faults.reported_load.get().unwrap_or(server.load()),
        held_grants: lease.held(now),
        finishing_grants: lease.finishing(now),
    }
}
