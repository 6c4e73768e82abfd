//! A primary's renewals at the leader of the control VMs.
//!
//! One renewal is in flight at a time, and a response counts only for its own
//! renewal. A renewal is sent at once if it reports a change that another zone
//! waits for.

use std::cell::Cell;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::{DelegationReport, RenewRequest, RenewResponse};
use crate::clock;
use crate::control::leader_client::LeaderClient;
use crate::ids;
use crate::keys;
use crate::timing;

/// RPC method of a renewal.
pub const METHOD: &str = "delegate.renew";

/// Timeout of a renewal.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Called with each response, the time at which the renewal was sent and its report.
pub type OnResponse = Box<dyn Fn(Instant, &RenewalReport, &RenewResponse)>;

/// Report of a VM on the delegations that it serves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RenewalReport {
    /// Served and resigned delegations.
    pub delegations: Vec<DelegationReport>,
    /// Epochs in which the VM is an active primary.
    pub active_epochs: Vec<ids::Epoch>,
}

/// Sends renewals for all delegations of a VM.
pub struct Renewer {
    /// The control VMs.
    pub control: LeaderClient,
    /// This VM.
    pub vm: ids::VmName,
    /// Returns the current report.
    pub report: Box<dyn Fn(Instant) -> RenewalReport>,
    /// Called with each response.
    pub on_response: OnResponse,
    /// Sequence number of the last renewal.
    pub sequence: Cell<u64>,
}

/// The part of a report that is sent without delay when it changes.
#[derive(Debug, PartialEq)]
struct UrgentState {
    epoch: ids::Epoch,
    empty: bool,
    resigned: bool,
    active: bool,
    released: Vec<keys::Span>,
}

impl Renewer {
    /// Sends renewals, forever.
    pub async fn run(self) {
        loop {
            let sent = clock::now();
            let report = (self.report)(sent);
            let sent_state = urgent_state(&report);
            if !report.delegations.is_empty() {
                self.renew(sent, &report).await;
            }
            self.wait_for_next(sent, &sent_state).await;
        }
    }

    async fn renew(&self, sent: Instant, report: &RenewalReport) {
        self.sequence.set(self.sequence.get() + 1);
        let request = RenewRequest {
            vm: Arc::clone(&self.vm),
            sequence: self.sequence.get(),
            reports: report.delegations.clone(),
            active_epochs: report.active_epochs.clone(),
        };
        let response = self.control.call(METHOD, &request, RESPONSE_TIMEOUT).await;
        if let Ok(response) = response {
            (self.on_response)(sent, report, &response);
        }
    }

    /// Waits until the next renewal is due or the urgent part of the report changes.
    async fn wait_for_next(&self, sent: Instant, sent_state: &[UrgentState]) {
        loop {
            monoio::time::sleep(timing::GRANT_PASS_INTERVAL).await;
            let now = clock::now();
            if now >= sent + timing::RENEWAL_INTERVAL
                || urgent_state(&(self.report)(now)) != sent_state
            {
                return;
            }
        }
    }
}

impl fmt::Debug for Renewer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Renewer")
            .field("vm", &self.vm)
            .finish_non_exhaustive()
    }
}

fn urgent_state(report: &RenewalReport) -> Vec<UrgentState> {
    let delegations = report.delegations.iter();
    delegations
        .map(|d| UrgentState {
            epoch: d.epoch,
            empty: d.servers == 0,
            resigned: d.resigned,
            active: report.active_epochs.contains(&d.epoch),
            released: d.released.clone(),
        })
        .collect()
}
