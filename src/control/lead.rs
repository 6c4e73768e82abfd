//! What the leader does on its own: delegations, and claims to forget.

use std::rc::Rc;
use std::time::Duration;

use super::command::{Applied, Command};
use super::daemon::Control;
use super::propose;
use crate::claim;
use crate::clock;
use crate::delegate;
use crate::delegate::planner::ServiceParams;
use crate::timing;

/// Rounds of decisions between two looks at claims whose time is over.
const FORGET_ROUNDS: u32 = 50;

/// Pause of a VM that does not lead.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(20);

/// Decides and proposes as long as this VM leads, for ever.
pub async fn run(control: Rc<Control>) {
    let mut round = 0_u32;
    loop {
        monoio::time::sleep(timing::GRANT_PASS_INTERVAL).await;
        if control.log.leading_since().is_none() {
            monoio::time::sleep(FOLLOWER_PAUSE).await;
            continue;
        }
        round = round.wrapping_add(1);
        decide(&control);
        if round.is_multiple_of(FORGET_ROUNDS) {
            forget(&control);
        }
    }
}

fn decide(control: &Rc<Control>) {
    let Some(since) = control.log.leading_since() else {
        return;
    };
    let services: Vec<_> = {
        let documents = control.state.documents.borrow();
        documents
            .all()
            .map(|e| ServiceParams::from_document(&e.document))
            .collect()
    };
    let changes = {
        let store = control.state.delegations.borrow();
        let mut office = control.office.borrow_mut();
        office.plan(clock::now(), since, &store, &services)
    };
    for change in changes {
        put(control, Command::Delegate(change));
    }
}

fn forget(control: &Rc<Control>) {
    let now_ms = clock::wall_ms();
    if control.state.claims.borrow().has_overdue(now_ms) {
        put(control, Command::Claim(claim::Change::Forget { now_ms }));
    }
}

/// Proposes a command whose outcome shows in the state.
fn put(control: &Rc<Control>, command: Command) {
    let control = Rc::clone(control);
    monoio::spawn(async move {
        let applied = propose::propose(&control.log, &command).await;
        if let (Ok(Applied::Delegate(delegate::store::Applied::Done)), Command::Delegate(change)) =
            (applied, &command)
        {
            let event = delegate::events::for_change(change, &control.state.delegations.borrow());
            if let Some(event) = event {
                control.journal.record(event);
            }
        }
    });
}
