//! Callers that look up and release lockers until they are told to stop.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::fleet::{self, Fleet, Reply};

/// Callers at a time.
const CALLERS: usize = 6;

/// Lockers that they use.
pub const LOCKERS: usize = 24;

/// Pause of a caller between requests.
const PAUSE: Duration = Duration::from_millis(8);

/// One request and what its caller was told.
#[derive(Debug)]
pub struct Asked {
    pub locker: String,
    /// Id of the claim; `None` for a lookup.
    pub claim: Option<String>,
    pub entry: SocketAddr,
    pub reply: io::Result<Reply>,
}

/// Callers at work.
pub struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<Vec<Asked>>>,
}

impl Load {
    /// Starts callers that use these entry VMs in turn.
    pub fn start(fleet: &Fleet, entries: &[&str]) -> Self {
        let entries: Vec<SocketAddr> = entries.iter().map(|e| fleet.callers(e)).collect();
        let (stop, answered): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
        let caller = |caller| {
            let (entries, stop) = (entries.clone(), Arc::clone(&stop));
            let answered = Arc::clone(&answered);
            thread::spawn(move || call(caller, &entries, &stop, &answered))
        };
        let callers = (0..CALLERS).map(caller).collect();
        Self {
            stop,
            answered,
            callers,
        }
    }

    /// Lets this many more requests be answered with success.
    pub fn more(&self, requests: usize) {
        let start = self.answered.load(Ordering::SeqCst);
        fleet::until("more answers", || {
            self.answered.load(Ordering::SeqCst) >= start + requests
        });
    }

    /// Stops the callers; all that was asked.
    pub fn stop(self) -> Vec<Asked> {
        self.stop.store(true, Ordering::SeqCst);
        self.callers
            .into_iter()
            .flat_map(|c| c.join().unwrap())
            .collect()
    }
}

fn call(
    caller: usize,
    entries: &[SocketAddr],
    stop: &AtomicBool,
    answered: &AtomicUsize,
) -> Vec<Asked> {
    let mut all = Vec::new();
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
        let reply = match &claim {
            Some(id) => fleet::send(*entry, "POST", &format!("{path}/release"), Some(id)),
            None => fleet::send(*entry, "GET", &path, None),
        };
        if reply.as_ref().is_ok_and(|r| r.status == 200) {
            answered.fetch_add(1, Ordering::SeqCst);
        }
        let entry = *entry;
        all.push(Asked {
            locker,
            claim,
            entry,
            reply,
        });
        thread::sleep(PAUSE);
    }
    all
}

/// What callers were told of claims agrees with what truly ran.
pub fn assert_claims(fleet: &Fleet, asked: &[Asked]) {
    let mut ran: BTreeMap<String, usize> = BTreeMap::new();
    for claim in fleet.runs().into_iter().filter_map(|r| r.claim) {
        *ran.entry(claim).or_default() += 1;
    }
    for (claim, count) in &ran {
        assert_eq!(*count, 1, "{claim} ran {count} times");
    }
    for one in asked {
        let (Some(claim), Ok(reply)) = (&one.claim, &one.reply) else {
            continue;
        };
        match (reply.verdict(), ran.get(claim)) {
            ("done", Some(_)) | ("not-run", None) | ("may-have-run", _) => {}
            (_, ran) => panic!("{one:?}, but it ran: {ran:?}"),
        }
    }
}

/// Each request through these entry VMs got a whole answer with success.
pub fn assert_served<'a>(asked: impl Iterator<Item = &'a Asked>) {
    for one in asked {
        assert!(matches!(&one.reply, Ok(r) if r.status == 200), "{one:?}");
    }
}
