//! Answers to the calls of other processes.

use std::rc::Rc;
use std::sync::Arc;

use serde_json::value::RawValue;

use super::about::{self, About};
use super::command::{Applied, Command};
use super::daemon::{Control, Seen};
use super::propose;
use crate::claim;
use crate::clock;
use crate::delegate::messages::WatchRequest;
use crate::delegate::watch;
use crate::log;
use crate::rpc::{Fault, RpcResult, error, server};

/// Answers one call.
///
/// # Errors
///
/// A fault that says whether the call may have had an effect.
pub async fn answer(control: Rc<Control>, method: Box<str>, body: Box<RawValue>) -> RpcResult {
    if let Some(answer) = control.log.answer(&method, &body).await {
        return answer;
    }
    let answer = control.desk.answer(&method, &body).await;
    match (&*method, answer) {
        (watch::METHOD, Some(Ok(answer))) => {
            note(&control, &body)?;
            Ok(answer)
        }
        (_, Some(answer)) => answer,
        (claim::desk::CHANGE, None) => change_claim(&control, &body).await,
        (claim::desk::LOOK, None) => look_at_claim(&control, &body).await,
        (about::METHOD, None) => server::encode_result(&about(&control)),
        (other, None) => Err(server::unknown_method(other)),
    }
}

/// Notes what an entry VM has taken in.
fn note(control: &Control, body: &RawValue) -> Result<(), Fault> {
    let request: WatchRequest = server::decode_params(body)?;
    let seen = Seen {
        at: clock::now(),
        have: request.known_index,
    };
    control.seen.borrow_mut().insert(request.entry_vm.vm, seen);
    Ok(())
}

async fn change_claim(control: &Control, body: &RawValue) -> RpcResult {
    let command = Command::Claim(server::decode_params(body)?);
    match propose::propose(&control.log, &command).await {
        Ok(Applied::Claim(applied)) => server::encode_result(&applied),
        Ok(_) => Err(Fault::new(
            error::BAD_REQUEST,
            "the command could not be read",
        )),
        Err(error) => Err(propose::fault(&error)),
    }
}

async fn look_at_claim(control: &Control, body: &RawValue) -> RpcResult {
    let look = server::decode_params(body)?;
    let read = control.log.read_barrier().await;
    read.map_err(|error| propose::fault(&error))?;
    server::encode_result(&control.state.claims.borrow().look(&look))
}

/// This VM as it sees itself.
pub fn about(control: &Control) -> About {
    let status = control.log.status();
    About {
        vm: Arc::clone(&control.settings.vm),
        zone: Arc::clone(&control.settings.zone),
        operator: control.settings.operator,
        role: role(&status),
        term: status.term,
        commit: status.commit_index,
        disk: status.replica,
        disk_bytes: folder_bytes(&control.settings.data),
        stopped: status.stopped,
    }
}

/// Its part; a disk without a vote learns, whatever it takes itself for.
fn role(status: &log::Status) -> Arc<str> {
    let votes = |m: &log::ReplicaStatus| m.id == status.replica && m.voter;
    match status.role {
        log::Role::Follower if !status.replicas.iter().any(votes) => "learner".into(),
        role => format!("{role:?}").to_lowercase().into(),
    }
}

fn folder_bytes(folder: &std::path::Path) -> Option<u64> {
    let files = std::fs::read_dir(folder).ok()?;
    let sizes = files
        .filter_map(|f| f.ok()?.metadata().ok())
        .map(|m| m.len());
    Some(sizes.sum())
}
