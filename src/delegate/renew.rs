//! The carrier's renewals at the leader of the control VMs.
//!
//! One renewal is under way at a time, and an answer counts only for the
//! renewal it belongs to. News that another zone waits for goes out at once.

use std::cell::Cell;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::{DelegationReport, RenewRequest, RenewResponse};
use crate::clock;
use crate::control::peers::Peers;
use crate::ids;
use crate::keys;
use crate::timing;

/// Method of a renewal.
pub const METHOD: &str = "delegate.renew";

/// Time until an answer is given up.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);

/// Takes an answer, with the time at which the renewal was sent and what it reported.
pub type OnResponse = Box<dyn Fn(Instant, &RenewalReport, &RenewResponse)>;

/// What a carrier has to report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RenewalReport {
    /// Duties.
    pub delegations: Vec<DelegationReport>,
    /// Epochs under which the carrier acts.
    pub active_epochs: Vec<ids::Epoch>,
}

/// Sends renewals for all duties of a VM.
pub struct Renewer {
    /// The control VMs.
    pub control: Peers,
    /// This VM.
    pub vm: ids::VmName,
    /// What there is to report.
    pub report: Box<dyn Fn(Instant) -> RenewalReport>,
    /// Takes each answer.
    pub on_response: OnResponse,
    /// Number of the last renewal.
    pub sequence: Cell<u64>,
}

/// The part of a report that is sent without delay when it changes.
#[derive(Debug, PartialEq)]
struct Urgent {
    epoch: ids::Epoch,
    empty: bool,
    resigned: bool,
    acting: bool,
    released: Vec<keys::Span>,
}

impl Renewer {
    /// Sends renewals, for ever.
    pub async fn run(self) {
        loop {
            let sent = clock::now();
            let report = (self.report)(sent);
            let known = urgent(&report);
            if !report.delegations.is_empty() {
                self.renew(sent, &report).await;
            }
            self.rest(sent, &known).await;
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
        let answer = self.control.call(METHOD, &request, ANSWER_LIMIT).await;
        if let Ok(answer) = answer {
            (self.on_response)(sent, report, &answer);
        }
    }

    /// Waits for the next renewal, or for news that should not wait.
    async fn rest(&self, sent: Instant, known: &[Urgent]) {
        loop {
            monoio::time::sleep(timing::DUTY_TICK).await;
            let now = clock::now();
            if now >= sent + timing::RENEWAL || urgent(&(self.report)(now)) != known {
                return;
            }
        }
    }
}

impl fmt::Debug for Renewer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Renewals")
            .field("vm", &self.vm)
            .finish_non_exhaustive()
    }
}

fn urgent(report: &RenewalReport) -> Vec<Urgent> {
    let duties = report.delegations.iter();
    duties
        .map(|duty| Urgent {
            epoch: duty.epoch,
            empty: duty.servers == 0,
            resigned: duty.resigned,
            acting: report.active_epochs.contains(&duty.epoch),
            released: duty.released.clone(),
        })
        .collect()
}
