//! Shared fixtures.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::delegate::messages::{
    DelegationReport, EntryVm, RenewRequest, ServiceCapacity, WatchRequest,
};
use crate::delegate::planner::{Planner, ServiceParams};
use crate::delegate::store::{Applied, Change, Store};

pub(super) const SERVICE: &str = "kiosk-core";

pub(super) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(super) fn entry_vm(vm: &str, zone: &str) -> EntryVm {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    EntryVm {
        vm: vm.into(),
        zone: zone.into(),
        peer: address,
        announce: address,
        operator: address,
        stopping: false,
    }
}

pub(super) fn service_params() -> ServiceParams {
    ServiceParams {
        service: SERVICE.into(),
        term: ms(2000),
        span_count: 16,
        max_deadline: ms(300),
    }
}

/// A leader with its state, to which entry VMs can send requests.
pub(super) struct Leader {
    pub(super) now: Instant,
    pub(super) leading_since: Instant,
    pub(super) store: Store,
    pub(super) planner: Planner,
    pub(super) sequence: u64,
    pub(super) index: u64,
}

impl Leader {
    pub(super) fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            leading_since: now,
            store: Store::default(),
            planner: Planner::default(),
            sequence: 0,
            index: 0,
        }
    }

    /// Plans changes and applies them at once; returns the applied changes.
    pub(super) fn plan_and_apply(&mut self) -> Vec<Change> {
        let services = [service_params()];
        let changes = self
            .planner
            .plan(self.now, self.leading_since, &self.store, &services);
        for change in &changes {
            self.index += 1;
            assert_eq!(
                self.store.apply(self.index, change.clone()),
                Applied::Done,
                "{change:?}"
            );
        }
        changes
    }

    /// Records a watch request of an entry VM.
    pub(super) fn watch(&mut self, vm: &str, zone: &str, servers: u32) {
        let capacity = ServiceCapacity {
            service: SERVICE.into(),
            servers,
            slots: servers * 6,
        };
        let request = WatchRequest {
            entry_vm: entry_vm(vm, zone),
            known_index: 0,
            wait: ms(100),
            capacities: vec![capacity],
        };
        self.planner.record_watch(self.now, &request);
    }

    /// Renews the lease of a zone's primary; returns the spans to release, `None` if the renewal is
    /// refused.
    pub(super) fn renew(
        &mut self,
        zone: &str,
        servers: u32,
        released: &[crate::keys::Span],
    ) -> Option<Vec<crate::keys::Span>> {
        self.report(zone, servers, released, false)
    }

    /// Resigns on behalf of the primary of a zone.
    pub(super) fn resign(&mut self, zone: &str) {
        assert_eq!(self.report(zone, 0, &[], true), None);
    }

    fn report(
        &mut self,
        zone: &str,
        servers: u32,
        released: &[crate::keys::Span],
        resigned: bool,
    ) -> Option<Vec<crate::keys::Span>> {
        let delegation = self.store.delegation(SERVICE, zone).unwrap().clone();
        self.sequence += 1;
        let report = DelegationReport {
            service: SERVICE.into(),
            zone: zone.into(),
            epoch: delegation.epoch,
            servers,
            slots: servers * 6,
            released: released.to_vec(),
            resigned,
        };
        let request = RenewRequest {
            vm: delegation.primary,
            sequence: self.sequence,
            reports: vec![report],
            active_epochs: vec![delegation.epoch],
        };
        let response = self.planner.renew(self.now, &request, &self.store);
        response.renewed.into_iter().next().map(|r| r.release)
    }

    pub(super) fn primary(&self, zone: &str) -> String {
        self.store
            .delegation(SERVICE, zone)
            .unwrap()
            .primary
            .to_string()
    }

    pub(super) fn spans(&self, zone: &str) -> usize {
        self.store.delegation(SERVICE, zone).unwrap().spans.len()
    }
}

/// A leader after the first delegation to two zones with two and one entry VMs and slots 2 to 1.
pub(super) fn delegated() -> Leader {
    let mut leader = Leader::new();
    for step in 0..20 {
        leader.now += ms(100);
        leader.watch("a1", "a", 2);
        leader.watch("a2", "a", 0);
        leader.watch("b1", "b", 1);
        leader.plan_and_apply();
        if step > 11 {
            leader.renew("a", 2, &[]);
            leader.renew("b", 1, &[]);
        }
    }
    leader
}
