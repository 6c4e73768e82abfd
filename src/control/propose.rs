//! Proposing commands to the replicated log, with typed results.

use super::command::{Applied, Command};
use crate::log::{self, ProposeError};
use crate::rpc::{Fault, error};

/// Proposes a command to the log and waits for its result.
///
/// # Errors
///
/// As for [`log::Handle::propose`].
pub async fn propose(log: &log::Handle, command: &Command) -> Result<Applied, ProposeError> {
    let payload = match serde_json::to_vec(command) {
        Ok(payload) => payload,
        Err(error) => return Ok(unreadable("command", &error)),
    };
    let outcome = log.propose(payload).await?;
    let applied = serde_json::from_slice(&outcome);
    Ok(applied.unwrap_or_else(|error| unreadable("outcome", &error)))
}

/// The result of a command that cannot be encoded, and so is not proposed, or whose result
/// cannot be decoded.
fn unreadable(what: &str, error: &serde_json::Error) -> Applied {
    ::log::error!(
        "event=control.unreadable what={what:?} error={:?}",
        error.to_string()
    );
    Applied::Unreadable
}

/// The RPC fault for a failed proposal.
pub fn fault(error: &ProposeError) -> Fault {
    let message = error.to_string();
    match error {
        ProposeError::NotLeader { leader } => Fault {
            data: leader.as_ref().map(|vm| serde_json::Value::from(&**vm)),
            ..Fault::new(error::NOT_LEADER, &message)
        },
        ProposeError::TooLarge => Fault::new(error::BAD_REQUEST, &message),
        ProposeError::Backlog => Fault::new(error::REFUSED, &message),
        ProposeError::OutcomeUnknown => Fault::new(error::OUTCOME_UNKNOWN, &message),
        ProposeError::Stopped => Fault::new(error::NOT_LEADER, &message),
    }
}
