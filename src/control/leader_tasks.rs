//! Periodic work of the leader: decisions on delegations and the expiry of claim records.

use std::rc::Rc;
use std::time::Duration;

use super::command::{Applied, Command};
use super::daemon::ControlContext;
use super::propose;
use crate::claim;
use crate::clock;
use crate::delegate;
use crate::delegate::planner::ServiceParams;
use crate::timing;

/// Passes between two checks for expired claim records.
const PASSES_PER_CLAIM_EXPIRY: u32 = 50;

/// Additional pause on a VM that does not lead.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(20);

/// Runs passes while this VM leads; never returns.
pub async fn run(control: Rc<ControlContext>) {
    let mut pass = 0_u32;
    loop {
        monoio::time::sleep(timing::GRANT_PASS_INTERVAL).await;
        if control.log.leading_since().is_none() {
            monoio::time::sleep(FOLLOWER_PAUSE).await;
            continue;
        }
        pass = pass.wrapping_add(1);
        plan_delegations(&control);
        if pass.is_multiple_of(PASSES_PER_CLAIM_EXPIRY) {
            expire_claims(&control);
        }
    }
}

fn plan_delegations(control: &Rc<ControlContext>) {
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
        let mut planner = control.planner.borrow_mut();
        planner.plan(clock::now(), since, &store, &services)
    };
    for change in changes {
        spawn_proposal(control, Command::Delegate(change));
    }
}

fn expire_claims(control: &Rc<ControlContext>) {
    let now_ms = clock::wall_ms();
    if control.state.claims.borrow().has_expired(now_ms) {
        spawn_proposal(control, Command::Claim(claim::Change::Expire { now_ms }));
    }
}

/// Proposes a command in the background and records the event of an applied change of delegations.
fn spawn_proposal(control: &Rc<ControlContext>, command: Command) {
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
