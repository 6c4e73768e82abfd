//! Losses of data directories up to the tolerance: every set of up to two of five voters, lost
//! together, or the second during the repair of the first.

use std::sync::Arc;
use std::time::Duration;

use super::discovery::{Vm, leader, propose, wait_for_voters};
use super::harness::until;
use crate::runtime;

/// Voters of a cluster that survives the loss of two.
const VOTERS: usize = 5;

/// Longest random time between two losses; a repair takes about as long.
const MAX_GAP_MS: u64 = 600;

/// Cluster of five VMs in three zones, and the number of commands it has accepted.
struct Cluster {
    vms: Vec<Vm>,
    commands: usize,
}

impl Cluster {
    async fn start() -> Self {
        let vm = |n: usize| Vm::in_zone(&format!("z{}", n % 3), VOTERS);
        let vms: Vec<_> = (0..VOTERS).map(vm).collect();
        let all: Vec<_> = vms.iter().collect();
        for vm in &vms {
            vm.start(&all, true);
        }
        wait_for_voters(&all, &all).await;
        Self { vms, commands: 0 }
    }

    async fn propose(&mut self) {
        let all: Vec<_> = self.vms.iter().collect();
        propose(&all, &format!("command {}", self.commands)).await;
        self.commands += 1;
    }

    /// Stops VMs, removes their data directories and starts them again.
    fn lose(&self, numbers: &[usize]) {
        let all: Vec<_> = self.vms.iter().collect();
        for number in numbers {
            self.vms[*number].kill();
        }
        for number in numbers {
            self.vms[*number].wipe();
            self.vms[*number].start(&all, false);
        }
    }

    /// Waits until all five vote again and have every command.
    async fn check(&mut self) {
        // A lost replica has the address of the new one, so the ids are compared.
        until("the new replicas to vote", || {
            let Some(leading) = self.vms.iter().find(|v| v.leads()) else {
                return false;
            };
            let status = leading.handle().status();
            let voting = status.replicas.iter().filter(|r| r.voter);
            let ids: Vec<_> = voting.map(|r| Arc::clone(&r.id)).collect();
            let vms = || self.vms.iter().map(|v| v.handle().status().replica);
            status.membership_committed && ids.len() == VOTERS && vms().all(|id| ids.contains(&id))
        })
        .await;
        self.propose().await;
        let count = self.commands;
        until("all VMs to have all commands", || {
            self.vms.iter().all(|v| v.has_applied(count))
        })
        .await;
    }
}

/// Guards against acknowledged changes that are lost, and a cluster that commits nothing any more,
/// after two data directories are lost at once (review case 1).
#[test]
fn any_two_disks_of_five_voters_lost_together_lose_nothing() {
    runtime::run(async {
        let mut cluster = Cluster::start().await;
        for first in 0..VOTERS {
            for second in first..VOTERS {
                cluster.propose().await;
                let mut lost = vec![first, second];
                lost.dedup();
                cluster.lose(&lost);
                cluster.check().await;
            }
        }
    });
}

/// Guards against a repair that leaves the cluster open to a second loss.
#[test]
fn a_second_disk_lost_during_the_repair_of_the_first_loses_nothing() {
    runtime::run(async {
        let mut random = fastrand::Rng::with_seed(7);
        let mut cluster = Cluster::start().await;
        for first in 0..VOTERS {
            for second in (0..VOTERS).filter(|n| *n != first) {
                cluster.propose().await;
                cluster.lose(&[first]);
                let gap = Duration::from_millis(random.u64(0..MAX_GAP_MS));
                monoio::time::sleep(gap).await;
                cluster.lose(&[second]);
                cluster.check().await;
            }
        }
    });
}

/// Guards against voters that are all in the zones of the seeds.
#[test]
fn voters_spread_over_the_zones_as_vms_join() {
    runtime::run(async {
        let vms: Vec<_> = ["z0", "z0", "z0", "z1", "z2"]
            .map(|z| Vm::in_zone(z, 3))
            .into();
        let all: Vec<_> = vms.iter().collect();
        for vm in &all {
            vm.start(&all[..3], true);
        }
        propose(&all[..3], "one").await;
        let zones = || {
            let leading = all.iter().find(|v| v.leads())?;
            let status = leading.handle().status();
            let voters = status.replicas.iter().filter(|r| r.voter);
            let addresses: Vec<_> = voters.map(|r| r.address).collect();
            let chosen = all.iter().filter(|v| addresses.contains(&v.address));
            let mut zones: Vec<_> = chosen.map(|v| v.zone.clone().unwrap()).collect();
            zones.sort();
            Some(zones)
        };
        until("a voter in each zone", || {
            zones().is_some_and(|z| z.iter().map(|z| &**z).eq(["z0", "z1", "z2"]))
        })
        .await;
    });
}

/// Guards against zones that are never recorded when the data is older than they are.
#[test]
fn zones_are_recorded_for_members_that_had_none() {
    runtime::run(async {
        let mut vms = [Vm::new(), Vm::new(), Vm::new()];
        let start = |vms: &[Vm; 3], may_bootstrap| {
            let all: Vec<_> = vms.iter().collect();
            for vm in vms {
                vm.start(&all, may_bootstrap);
            }
        };
        start(&vms, true);
        let all: Vec<_> = vms.iter().collect();
        wait_for_voters(&all, &all).await;
        for (number, vm) in vms.iter_mut().enumerate() {
            vm.kill();
            vm.zone = Some(format!("z{number}").into());
        }
        start(&vms, false);
        let all: Vec<_> = vms.iter().collect();
        leader(&all).await;
        until("the zones of all replicas", || {
            let leading = all.iter().find(|v| v.leads());
            leading.is_some_and(|v| {
                let handle = v.handle();
                let state = handle.node.state();
                let membership = state.log.membership();
                membership.is_some_and(|m| m.replicas.iter().all(|r| r.zone.is_some()))
            })
        })
        .await;
    });
}

/// Guards against a VM that is gone for good and keeps its vote although another VM has joined with
/// an empty data directory at a new address.
#[test]
fn a_vm_at_a_new_address_takes_the_vote_of_one_that_is_gone() {
    runtime::run(async {
        let zones = ["z0", "z1", "z2"];
        let vms = zones.map(|zone| Vm::in_zone(zone, 3));
        let all: Vec<_> = vms.iter().collect();
        for vm in &all {
            vm.start(&all, true);
        }
        wait_for_voters(&all, &all).await;
        propose(&all, "one").await;
        let gone = leader(&all).await;
        gone.kill();
        let new = Vm::in_zone(gone.zone.as_deref().unwrap(), 3);
        // Its seeds are those of the others; the one that is gone does not answer.
        new.start(&all, false);
        let kept = all.into_iter().filter(|v| v.address != gone.address);
        let present: Vec<_> = kept.chain([&new]).collect();
        wait_for_voters(&present, &present).await;
        propose(&present, "two").await;
        until("the new VM to have all commands", || new.has_applied(2)).await;
        // It counts: with it, one of the other two may be lost.
        let other = present[0];
        other.kill();
        propose(&present[1..], "three").await;
        assert!(new.handle().is_member(new.address));
    });
}
