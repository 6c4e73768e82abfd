//! Handler of RPC calls from other processes.

use std::rc::Rc;
use std::sync::Arc;

use serde_json::value::RawValue;

use super::command::{Applied, Command};
use super::daemon::{ControlContext, EntryContact};
use super::info::{self, ControlInfo};
use super::propose;
use crate::claim;
use crate::clock;
use crate::delegate::messages::WatchRequest;
use crate::delegate::watch;
use crate::log;
use crate::rpc::{Fault, RpcResult, error, server};

/// Handles one call.
///
/// # Errors
///
/// A [`Fault`] whose code says whether the call may have had an effect.
pub async fn handle(
    control: Rc<ControlContext>,
    method: Box<str>,
    body: Box<RawValue>,
) -> RpcResult {
    if let Some(response) = control.log.answer(&method, &body).await {
        return response;
    }
    let response = control.delegate_handler.answer(&method, &body).await;
    match (&*method, response) {
        (watch::METHOD, Some(Ok(response))) => {
            record_contact(&control, &body)?;
            Ok(response)
        }
        (_, Some(response)) => response,
        (claim::client::CHANGE_METHOD, None) => change_claim(&control, &body).await,
        (claim::client::LOOKUP_METHOD, None) => lookup_claim(&control, &body).await,
        (info::METHOD, None) => server::encode_result(&control_info(&control)),
        (other, None) => Err(server::unknown_method(other)),
    }
}

/// Records how far an entry VM has applied the log.
fn record_contact(control: &ControlContext, body: &RawValue) -> Result<(), Fault> {
    let request: WatchRequest = server::decode_params(body)?;
    let contact = EntryContact {
        at: clock::now(),
        index: request.known_index,
    };
    control
        .entry_contacts
        .borrow_mut()
        .insert(request.entry_vm.vm, contact);
    Ok(())
}

async fn change_claim(control: &ControlContext, body: &RawValue) -> RpcResult {
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

async fn lookup_claim(control: &ControlContext, body: &RawValue) -> RpcResult {
    let lookup = server::decode_params(body)?;
    let read = control.log.read_barrier().await;
    read.map_err(|error| propose::fault(&error))?;
    server::encode_result(&control.state.claims.borrow().lookup(&lookup))
}

/// The state of this VM.
pub fn control_info(control: &ControlContext) -> ControlInfo {
    let status = control.log.status();
    ControlInfo {
        vm: Arc::clone(&control.settings.vm),
        zone: Arc::clone(&control.settings.zone),
        operator: control.settings.operator,
        role: role(&status),
        term: status.term,
        commit: status.commit_index,
        replica: status.replica,
        data_bytes: directory_bytes(&control.settings.data),
        stopped: status.stopped,
    }
}

/// The role in the log; a replica without a vote is a learner, whatever role its log reports.
fn role(status: &log::Status) -> Arc<str> {
    let is_voter = |r: &log::ReplicaStatus| r.id == status.replica && r.voter;
    match status.role {
        log::Role::Follower if !status.replicas.iter().any(is_voter) => "learner".into(),
        role => format!("{role:?}").to_lowercase().into(),
    }
}

fn directory_bytes(directory: &std::path::Path) -> Option<u64> {
    let files = std::fs::read_dir(directory).ok()?;
    let sizes = files
        .filter_map(|f| f.ok()?.metadata().ok())
        .map(|m| m.len());
    Some(sizes.sum())
}
