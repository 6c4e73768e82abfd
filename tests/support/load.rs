//! Load: callers that look up and release lockers until they are stopped.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::cluster::{self, Cluster, Response};

/// Concurrent callers.
const CALLERS: usize = 6;

/// Number of lockers; each is the key of its requests.
pub const LOCKERS: usize = 24;

/// Pause of a caller between a response and its next request.
const REQUEST_PAUSE: Duration = Duration::from_millis(8);

/// One request with its response or I/O error.
#[derive(Debug)]
pub struct CallResult {
    pub locker: String,
    /// Id of the claim; `None` for a lookup.
    pub claim: Option<String>,
    pub entry: SocketAddr,
    pub response: io::Result<Response>,
}

/// Running callers.
pub struct Load {
    stop: Arc<AtomicBool>,
    successes: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<Vec<CallResult>>>,
}

impl Load {
    /// Starts callers that use these entry VMs round-robin.
    pub fn start(cluster: &Cluster, entries: &[&str]) -> Self {
        let entries: Vec<SocketAddr> = entries.iter().map(|e| cluster.caller_address(e)).collect();
        let (stop, successes): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
        let caller = |caller| {
            let (entries, stop) = (entries.clone(), Arc::clone(&stop));
            let successes = Arc::clone(&successes);
            thread::spawn(move || run_caller(caller, &entries, &stop, &successes))
        };
        let callers = (0..CALLERS).map(caller).collect();
        Self {
            stop,
            successes,
            callers,
        }
    }

    /// Waits until this many more requests have succeeded.
    pub fn wait_for_successes(&self, requests: usize) {
        let start = self.successes.load(Ordering::SeqCst);
        cluster::wait_until("more successful requests", || {
            self.successes.load(Ordering::SeqCst) >= start + requests
        });
    }

    /// Stops the callers; returns the results of all requests.
    pub fn stop(self) -> Vec<CallResult> {
        self.stop.store(true, Ordering::SeqCst);
        self.callers
            .into_iter()
            .flat_map(|c| c.join().unwrap())
            .collect()
    }
}

fn run_caller(
    caller: usize,
    entries: &[SocketAddr],
    stop: &AtomicBool,
    successes: &AtomicUsize,
) -> Vec<CallResult> {
    let mut results = Vec::new();
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let locker = format!("L-{}", (n * CALLERS + caller) % LOCKERS);
        let claim = (n % 3 == 2).then(|| format!("claim-{caller}-{n}"));
        let entry = entries
            .iter()
            .cycle()
            .nth((n + caller) % entries.len())
            .unwrap();
        let path = format!("/lockers/{locker}");
        let response = match &claim {
            Some(id) => cluster::send_request(*entry, "POST", &format!("{path}/release"), Some(id)),
            None => cluster::send_request(*entry, "GET", &path, None),
        };
        if response.as_ref().is_ok_and(|r| r.status == 200) {
            successes.fetch_add(1, Ordering::SeqCst);
        }
        let entry = *entry;
        results.push(CallResult {
            locker,
            claim,
            entry,
            response,
        });
        thread::sleep(REQUEST_PAUSE);
    }
    results
}

/// Checks that each claim ran at most once and that its verdicts agree with the executions.
pub fn assert_verdicts(cluster: &Cluster, results: &[CallResult]) {
    let mut ran: BTreeMap<String, usize> = BTreeMap::new();
    for claim in cluster.executions().into_iter().filter_map(|r| r.claim) {
        *ran.entry(claim).or_default() += 1;
    }
    for (claim, count) in &ran {
        assert_eq!(*count, 1, "{claim} ran {count} times");
    }
    for result in results {
        let (Some(claim), Ok(response)) = (&result.claim, &result.response) else {
            continue;
        };
        match (response.verdict(), ran.get(claim)) {
            ("done", Some(_)) | ("not-run", None) | ("may-have-run", _) => {}
            (_, ran) => panic!("{result:?}, but it ran: {ran:?}"),
        }
    }
}

/// Checks that each of these requests got a complete response with status 200.
pub fn assert_all_succeeded<'a>(results: impl Iterator<Item = &'a CallResult>) {
    for result in results {
        assert!(
            matches!(&result.response, Ok(r) if r.status == 200),
            "{result:?}"
        );
    }
}
