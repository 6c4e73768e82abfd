//! Commands put to the replicated log, with typed outcomes.

use super::command::{Applied, Command};
use crate::log::{self, ProposeError};
use crate::rpc::{Fault, error};

/// Puts a command to the log and waits for its outcome.
///
/// # Errors
///
/// As for [`log::Handle::propose`].
pub async fn propose(log: &log::Handle, command: &Command) -> Result<Applied, ProposeError> {
    let payload = serde_json::to_vec(command).unwrap_or_default();
    let outcome = log.propose(payload).await?;
    Ok(serde_json::from_slice(&outcome).unwrap_or(Applied::Unreadable))
}

/// The fault that tells another process why the log took no command.
pub fn fault(error: &ProposeError) -> Fault {
    let message = error.to_string();
    match error {
        ProposeError::NotLeader { leader } => Fault {
            data: leader.as_ref().map(|vm| serde_json::Value::from(&**vm)),
            ..Fault::new(error::NOT_LEADER, &message)
        },
        ProposeError::Unsure => Fault::new(error::UNSURE, &message),
        ProposeError::Stopped => Fault::new(error::NOT_LEADER, &message),
    }
}
