//! Following what the control VMs know.
//!
//! One question at a time is open at one control VM, of the own zone if there
//! is one. A VM that does not answer, or knows less than what is known here, is
//! left for the next; what is known stays in force until somebody knows more.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::Gate;
use crate::clock;
use crate::fleet::encoding::{self, EncodedUpdates};
use crate::fleet::frontend::{MAX_POLL_WAIT, OBSERVATION_INTERVAL};
use crate::fleet::messages::{self, Observations};
use crate::fleet::updates::{self, Poll, Updates};
use crate::fleet::{Vm, VmRole};
use crate::rpc;
use crate::timeline::{Event, Journal};

/// Wait for an answer beyond the time that a question is held open.
const SLACK: Duration = Duration::from_millis(300);

/// Time between two tries to follow a control VM of the own zone again.
const NEAR_EVERY: Duration = Duration::from_secs(4);

/// Pause after a control VM that did not answer.
const PAUSE: Duration = Duration::from_millis(50);

/// The control VM that is followed now.
type Followed = Rc<RefCell<Option<rpc::Peer>>>;

/// Seeds as addresses for calls between processes.
pub type Seeds = Rc<RefCell<Vec<SocketAddr>>>;

/// Tells the control VM that is followed what this VM saw, for ever.
async fn tell(gate: Rc<Gate>, followed: Followed) {
    loop {
        monoio::time::sleep(OBSERVATION_INTERVAL).await;
        let Some(peer) = followed.borrow().clone() else {
            continue;
        };
        let seen = Observations {
            loads: gate.loads.borrow_mut().drain(),
            latencies: gate.known.borrow().paces(),
        };
        if seen.is_empty() {
            continue;
        }
        let told = peer
            .call::<_, ()>(messages::OBSERVATIONS, &seen, SLACK)
            .await;
        if let Err(error) = told {
            // It is counted anew all the time; this is not missed.
            log::debug!("event=gateway.seen_lost error={:?}", error.to_string());
        }
    }
}

/// Follows the control VMs, for ever.
pub async fn run(gate: Rc<Gate>, own: Vm, seeds: Seeds, journal: Journal) {
    let mut peers = BTreeMap::new();
    let followed = Followed::default();
    monoio::spawn(tell(Rc::clone(&gate), Rc::clone(&followed)));
    let mut current: Option<SocketAddr> = None;
    let mut lost = false;
    let mut near_after = clock::now();
    loop {
        let Some(address) = current.or_else(|| first(&gate, &own, &seeds)) else {
            monoio::time::sleep(PAUSE).await;
            continue;
        };
        let peer = peers
            .entry(address)
            .or_insert_with(|| rpc::Peer::new(address, journal.clone()));
        match ask(&gate, &own, peer).await {
            Ok(news) => {
                if lost || current.is_none() {
                    let detail = format!("{address} index {}", news.index);
                    journal.record(Event::new("gateway.follows").detail(&detail));
                }
                lost = false;
                current = Some(address);
                *followed.borrow_mut() = Some(peer.clone());
                if !take(&gate, news) {
                    current = next(&gate, &own, &seeds, address);
                } else if clock::now() >= near_after
                    && let Some(near) = nearer(&gate, &own, address)
                {
                    current = Some(near);
                    near_after = clock::now() + NEAR_EVERY;
                }
            }
            Err(error) => {
                if !lost {
                    let detail = format!("{address} {error}");
                    journal.record(Event::new("gateway.lost").detail(&detail));
                }
                lost = true;
                current = next(&gate, &own, &seeds, address);
                monoio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn ask(gate: &Gate, own: &Vm, peer: &rpc::Peer) -> Result<Updates, rpc::CallError> {
    let poll = Poll {
        vm: own.clone(),
        base: gate.known.borrow().index,
    };
    let told: EncodedUpdates = peer
        .call(updates::POLL, &poll, MAX_POLL_WAIT + SLACK)
        .await?;
    encoding::decode(told).map_err(|e| rpc::CallError::Malformed(e.to_string().into()))
}

/// Takes news in; false if they are older than what is known.
fn take(gate: &Gate, news: Updates) -> bool {
    let empty = news.is_empty();
    let taken = gate.known.borrow_mut().take(news);
    if taken && !empty {
        gate.changed.wake();
    }
    taken
}

/// A control VM of the own zone, if `address` is none.
fn nearer(gate: &Gate, own: &Vm, address: SocketAddr) -> Option<SocketAddr> {
    let known = gate.known.borrow();
    let controls = known.vms.iter().filter(|v| v.role == VmRole::Control);
    let mut near = controls.filter(|v| v.zone == own.zone).map(|v| v.address);
    let first = near.next()?;
    let is_near = first == address || near.any(|a| a == address);
    (!is_near).then_some(first)
}

/// The control VM to ask first.
fn first(gate: &Gate, own: &Vm, seeds: &Seeds) -> Option<SocketAddr> {
    all(gate, own, seeds).first().copied()
}

/// The control VM to ask after `address`.
fn next(gate: &Gate, own: &Vm, seeds: &Seeds, address: SocketAddr) -> Option<SocketAddr> {
    let all = all(gate, own, seeds);
    let at = all.iter().position(|a| *a == address);
    let following = at.and_then(|i| all.get(i + 1)).or_else(|| all.first());
    following.copied()
}

/// All control VMs: those of the own zone, the others, and the seeds.
fn all(gate: &Gate, own: &Vm, seeds: &Seeds) -> Vec<SocketAddr> {
    let known = gate.known.borrow();
    let controls = known.vms.iter().filter(|v| v.role == VmRole::Control);
    let (near, far): (Vec<_>, Vec<_>) = controls.partition(|v| v.zone == own.zone);
    let mut addresses: Vec<_> = near.iter().chain(&far).map(|v| v.address).collect();
    for seed in seeds.borrow().iter() {
        if !addresses.contains(seed) {
            addresses.push(*seed);
        }
    }
    addresses
}
