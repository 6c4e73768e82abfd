//! Small values that the tests share.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::delegate::messages::{
    DelegationReport, EntryVm, RenewRequest, ServiceCapacity, WatchRequest,
};
use crate::delegate::planner::{Planner, ServiceParams};
use crate::delegate::store::{Applied, Change, Store};

pub(super) const KIOSK: &str = "kiosk-core";

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

pub(super) fn kiosk() -> ServiceParams {
    ServiceParams {
        service: KIOSK.into(),
        term: ms(2000),
        span_count: 16,
        max_deadline: ms(300),
    }
}

/// A leader with its state, and entry VMs that can be in touch with it.
pub(super) struct Control {
    pub(super) now: Instant,
    pub(super) since: Instant,
    pub(super) store: Store,
    pub(super) planner: Planner,
    pub(super) number: u64,
    pub(super) index: u64,
}

impl Control {
    pub(super) fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            since: now,
            store: Store::default(),
            planner: Planner::default(),
            number: 0,
            index: 0,
        }
    }

    /// Decides and applies at once; returns what was done.
    pub(super) fn decide(&mut self) -> Vec<Change> {
        let services = [kiosk()];
        let changes = self
            .planner
            .plan(self.now, self.since, &self.store, &services);
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

    /// An entry VM asks for news.
    pub(super) fn watch(&mut self, vm: &str, zone: &str, servers: u32) {
        let heard = ServiceCapacity {
            service: KIOSK.into(),
            servers,
            slots: servers * 6,
        };
        let request = WatchRequest {
            entry_vm: entry_vm(vm, zone),
            known_index: 0,
            wait: ms(100),
            capacities: vec![heard],
        };
        self.planner.record_watch(self.now, &request);
    }

    /// The carrier of a zone renews with so many servers; what it is to release.
    pub(super) fn renew(
        &mut self,
        zone: &str,
        servers: u32,
        released: &[crate::keys::Span],
    ) -> Option<Vec<crate::keys::Span>> {
        self.report(zone, servers, released, false)
    }

    /// The carrier of a zone gives up its duty.
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
        let delegation = self.store.delegation(KIOSK, zone).unwrap().clone();
        self.number += 1;
        let report = DelegationReport {
            service: KIOSK.into(),
            zone: zone.into(),
            epoch: delegation.epoch,
            servers,
            slots: servers * 6,
            released: released.to_vec(),
            resigned,
        };
        let request = RenewRequest {
            vm: delegation.primary,
            sequence: self.number,
            reports: vec![report],
            active_epochs: vec![delegation.epoch],
        };
        let answer = self.planner.renew(self.now, &request, &self.store);
        answer.renewed.into_iter().next().map(|r| r.release)
    }

    pub(super) fn primary(&self, zone: &str) -> String {
        self.store
            .delegation(KIOSK, zone)
            .unwrap()
            .primary
            .to_string()
    }

    pub(super) fn spans(&self, zone: &str) -> usize {
        self.store.delegation(KIOSK, zone).unwrap().spans.len()
    }
}

/// Two zones of two and one entry VMs, with a first delegation by slots 2 to 1.
pub(super) fn delegated() -> Control {
    let mut control = Control::new();
    for step in 0..20 {
        control.now += ms(100);
        control.watch("a1", "a", 2);
        control.watch("a2", "a", 0);
        control.watch("b1", "b", 1);
        control.decide();
        if step > 11 {
            control.renew("a", 2, &[]);
            control.renew("b", 1, &[]);
        }
    }
    control
}
