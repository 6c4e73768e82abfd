//! The carrier's renewals at the leader of the control VMs.
//!
//! One renewal is under way at a time, and an answer counts only for the
//! renewal it belongs to. News that another zone waits for goes out at once.

use std::cell::Cell;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::messages::{DutyReport, RenewAnswer, RenewRequest};
use crate::clock;
use crate::control::leader_client::LeaderClient;
use crate::ids;
use crate::keys;
use crate::timing;

/// Method of a renewal.
pub const METHOD: &str = "delegate.renew";

/// Time until an answer is given up.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);

/// Takes an answer, with the time at which the renewal was sent and what it reported.
pub type Answered = Box<dyn Fn(Instant, &Reports, &RenewAnswer)>;

/// What a carrier has to report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reports {
    /// Duties.
    pub duties: Vec<DutyReport>,
    /// Epochs under which the carrier acts.
    pub acting: Vec<ids::Epoch>,
}

/// Sends renewals for all duties of a VM.
pub struct Renewals {
    /// The control VMs.
    pub control: LeaderClient,
    /// This VM.
    pub vm: ids::VmName,
    /// What there is to report.
    pub reports: Box<dyn Fn(Instant) -> Reports>,
    /// Takes each answer.
    pub answered: Answered,
    /// Number of the last renewal.
    pub number: Cell<u64>,
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

impl Renewals {
    /// Sends renewals, for ever.
    pub async fn run(self) {
        loop {
            let sent = clock::now();
            let reports = (self.reports)(sent);
            let known = urgent(&reports);
            if !reports.duties.is_empty() {
                self.renew(sent, &reports).await;
            }
            self.rest(sent, &known).await;
        }
    }

    async fn renew(&self, sent: Instant, reports: &Reports) {
        self.number.set(self.number.get() + 1);
        let request = RenewRequest {
            vm: Arc::clone(&self.vm),
            number: self.number.get(),
            duties: reports.duties.clone(),
            acting: reports.acting.clone(),
        };
        let answer = self.control.call(METHOD, &request, ANSWER_LIMIT).await;
        if let Ok(answer) = answer {
            (self.answered)(sent, reports, &answer);
        }
    }

    /// Waits for the next renewal, or for news that should not wait.
    async fn rest(&self, sent: Instant, known: &[Urgent]) {
        loop {
            monoio::time::sleep(timing::DUTY_TICK).await;
            let now = clock::now();
            if now >= sent + timing::RENEWAL || urgent(&(self.reports)(now)) != known {
                return;
            }
        }
    }
}

impl fmt::Debug for Renewals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Renewals")
            .field("vm", &self.vm)
            .finish_non_exhaustive()
    }
}

fn urgent(reports: &Reports) -> Vec<Urgent> {
    let duties = reports.duties.iter();
    duties
        .map(|duty| Urgent {
            epoch: duty.epoch,
            empty: duty.servers == 0,
            resigned: duty.resigned,
            acting: reports.acting.contains(&duty.epoch),
            released: duty.released.clone(),
        })
        .collect()
}
