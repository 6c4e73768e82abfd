//! The entry VM's question for news, held open at the leader of the control VMs.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use super::messages::{EntryVm, Heard, WatchAnswer, WatchRequest};
use super::view::View;
use crate::control::leader_client::LeaderClient;
use crate::timing;

/// Method of the question.
pub const METHOD: &str = "control.watch";

/// Time beyond the hold until an answer is given up.
const ANSWER_LIMIT: Duration = Duration::from_millis(200);

/// Pause after every control VM was asked in vain.
const BACKOFF: Duration = Duration::from_millis(20);

/// Keeps a [`View`] up to date.
pub struct Watch {
    /// The view.
    pub view: Rc<View>,
    /// The control VMs.
    pub control: LeaderClient,
    /// This VM as it stands.
    pub entry: Box<dyn Fn() -> EntryVm>,
    /// Services announced to this VM lately.
    pub heard: Box<dyn Fn() -> Vec<Heard>>,
}

impl Watch {
    /// Asks for news, for ever.
    pub async fn run(self) {
        loop {
            if !self.ask().await {
                monoio::time::sleep(BACKOFF).await;
            }
        }
    }

    /// Asks once; whether the leader answered.
    async fn ask(&self) -> bool {
        let request = WatchRequest {
            entry: (self.entry)(),
            have: self.view.index(),
            wait: timing::POLL_HOLD,
            heard: (self.heard)(),
        };
        let timeout = timing::POLL_HOLD + ANSWER_LIMIT;
        let answer: Result<WatchAnswer, _> = self.control.call(METHOD, &request, timeout).await;
        let Ok(answer) = answer else {
            return false;
        };
        let taken = self.view.take_in(answer);
        if !taken {
            self.control.try_next();
        }
        taken
    }
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch")
            .field("view", &self.view)
            .finish_non_exhaustive()
    }
}
