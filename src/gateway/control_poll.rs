//! Long polling of the control VMs for routing updates.
//!
//! One poll at a time is open at one control VM, in the local zone if possible. A VM
//! that doesn't respond, or whose state is older than the local one, is left for the
//! next; the local routing state stays in use until newer updates arrive.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::Gateway;
use crate::clock;
use crate::fleet::encoding::{self, EncodedUpdates};
use crate::fleet::frontend::{MAX_POLL_WAIT, OBSERVATION_INTERVAL};
use crate::fleet::messages::{self, Observations};
use crate::fleet::updates::{self, Poll, Updates};
use crate::fleet::{Vm, VmRole};
use crate::rpc;
use crate::timeline::{Event, Journal};

/// Wait for a response beyond the time that a poll is held open.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// Interval between attempts to return to a control VM of the local zone.
const SAME_ZONE_RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// Delay after a control VM that didn't respond.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Control VM that answered the last poll.
type CurrentPeer = Rc<RefCell<Option<rpc::Peer>>>;

/// Addresses of control VMs to start from.
pub type Seeds = Rc<RefCell<Vec<SocketAddr>>>;

/// Reports loads, latencies and servers that leave to the current control VM at intervals; never
/// returns.
async fn report_observations(gateway: Rc<Gateway>, current_peer: CurrentPeer) {
    loop {
        gateway.noticed.wait(OBSERVATION_INTERVAL).await;
        let Some(peer) = current_peer.borrow().clone() else {
            continue;
        };
        let observations = Observations {
            loads: gateway.loads.borrow_mut().drain(),
            latencies: gateway.routing.borrow().take_latencies(),
            leaving: gateway.routing.borrow().leaving_owners(),
        };
        if observations.is_empty() {
            continue;
        }
        let sent = peer
            .call::<_, ()>(messages::OBSERVATIONS, &observations, RESPONSE_MARGIN)
            .await;
        if let Err(error) = sent {
            // Loads and latencies are measured all the time, and servers that leave are reported until
            // they drain, so a lost report is not sent again.
            log::debug!("event=gateway.seen_lost error={:?}", error.to_string());
        }
    }
}

/// Polls the control VMs; never returns.
pub async fn run(gateway: Rc<Gateway>, local_vm: Vm, seeds: Seeds, journal: Journal) {
    let mut peers = BTreeMap::new();
    let current_peer = CurrentPeer::default();
    monoio::spawn(report_observations(
        Rc::clone(&gateway),
        Rc::clone(&current_peer),
    ));
    let mut current: Option<SocketAddr> = None;
    let mut disconnected = false;
    let mut same_zone_retry_at = clock::now();
    loop {
        let Some(address) = current.or_else(|| first_control(&gateway, &local_vm, &seeds)) else {
            monoio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let peer = peers
            .entry(address)
            .or_insert_with(|| rpc::Peer::new(address, journal.clone()));
        match poll(&gateway, &local_vm, peer).await {
            Ok(updates) => {
                if disconnected || current.is_none() {
                    let detail = format!("{address} index {}", updates.index);
                    journal.record(Event::new("gateway.follows").detail(&detail));
                }
                disconnected = false;
                current = Some(address);
                *current_peer.borrow_mut() = Some(peer.clone());
                if !apply(&gateway, updates) {
                    current = next_control(&gateway, &local_vm, &seeds, address);
                } else if clock::now() >= same_zone_retry_at
                    && let Some(same_zone) = same_zone_control(&gateway, &local_vm, address)
                {
                    current = Some(same_zone);
                    same_zone_retry_at = clock::now() + SAME_ZONE_RETRY_INTERVAL;
                }
            }
            Err(error) => {
                if !disconnected {
                    let detail = format!("{address} {error}");
                    journal.record(Event::new("gateway.lost").detail(&detail));
                }
                disconnected = true;
                current = next_control(&gateway, &local_vm, &seeds, address);
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn poll(
    gateway: &Gateway,
    local_vm: &Vm,
    peer: &rpc::Peer,
) -> Result<Updates, rpc::CallError> {
    let poll = Poll {
        vm: local_vm.clone(),
        base: gateway.routing.borrow().index,
    };
    let response: EncodedUpdates = peer
        .call(updates::POLL, &poll, MAX_POLL_WAIT + RESPONSE_MARGIN)
        .await?;
    encoding::decode(response).map_err(|e| rpc::CallError::Malformed(e.to_string().into()))
}

/// Applies updates; false if they are older than the routing state.
fn apply(gateway: &Gateway, updates: Updates) -> bool {
    let is_empty_update = updates.is_empty();
    let applied = gateway.routing.borrow_mut().apply(updates);
    if applied && !is_empty_update {
        gateway.changed.wake();
    }
    applied
}

/// Returns a control VM of the local zone unless `address` is one.
fn same_zone_control(gateway: &Gateway, local_vm: &Vm, address: SocketAddr) -> Option<SocketAddr> {
    let routing = gateway.routing.borrow();
    let controls = routing.vms.iter().filter(|v| v.role == VmRole::Control);
    let mut same_zone = controls
        .filter(|v| v.zone == local_vm.zone)
        .map(|v| v.address);
    let first = same_zone.next()?;
    let is_same_zone = first == address || same_zone.any(|a| a == address);
    (!is_same_zone).then_some(first)
}

/// Returns the control VM to poll first.
fn first_control(gateway: &Gateway, local_vm: &Vm, seeds: &Seeds) -> Option<SocketAddr> {
    control_addresses(gateway, local_vm, seeds).first().copied()
}

/// Returns the control VM to poll after `address`.
fn next_control(
    gateway: &Gateway,
    local_vm: &Vm,
    seeds: &Seeds,
    address: SocketAddr,
) -> Option<SocketAddr> {
    let addresses = control_addresses(gateway, local_vm, seeds);
    let index = addresses.iter().position(|a| *a == address);
    let following = index
        .and_then(|i| addresses.get(i + 1))
        .or_else(|| addresses.first());
    following.copied()
}

/// Lists all control VMs: those of the local zone, the others, then the seeds.
fn control_addresses(gateway: &Gateway, local_vm: &Vm, seeds: &Seeds) -> Vec<SocketAddr> {
    let routing = gateway.routing.borrow();
    let controls = routing.vms.iter().filter(|v| v.role == VmRole::Control);
    let (same_zone, others): (Vec<_>, Vec<_>) = controls.partition(|v| v.zone == local_vm.zone);
    let mut addresses: Vec<_> = same_zone.iter().chain(&others).map(|v| v.address).collect();
    for seed in seeds.borrow().iter() {
        if !addresses.contains(seed) {
            addresses.push(*seed);
        }
    }
    addresses
}
