//! Asking every VM of the system the same.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Method;

use super::answer::Failure;
use super::call::{self, Reply};
use super::control::{self, Control};
use crate::control::api;

/// A VM to be asked.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Its name, or its address if it was given by that.
    pub(super) name: Arc<str>,
    address: Option<SocketAddr>,
}

/// Answers of those VMs that gave one.
#[derive(Debug, Default)]
pub(super) struct Answers {
    /// Answers, in the order of the VMs.
    pub(super) replies: Vec<Answered>,
    /// VMs without an answer.
    pub(super) missing: Vec<Missing>,
}

/// Answer of a VM.
#[derive(Debug)]
pub(super) struct Answered {
    /// The VM's name.
    pub(super) vm: Arc<str>,
    /// Its answer.
    pub(super) reply: Reply,
}

/// A VM without an answer.
#[derive(Debug)]
pub(super) struct Missing {
    vm: Arc<str>,
    cause: Arc<str>,
}

/// The VMs at the addresses given, else all that the control VMs know.
pub(super) async fn targets(
    control: &Control,
    given: Option<&str>,
) -> Result<Vec<Target>, Failure> {
    if let Some(text) = given {
        let addresses = super::parse_addresses(text)?;
        return Ok(addresses.into_iter().map(Target::at).collect());
    }
    let vms: api::Vms = control.get("/v1/vms").await?;
    let target = |vm: api::VmInfo| Target {
        name: vm.vm,
        address: vm.operator,
    };
    Ok(vms.vms.into_iter().map(target).collect())
}

/// Gets `path` from all of them at once.
pub(super) async fn get_all(targets: Vec<Target>, path: &str) -> Result<Answers, Failure> {
    let path: Arc<str> = path.into();
    let ask = |target: Target| monoio::spawn(get(target, Arc::clone(&path)));
    let asked: Vec<_> = targets.into_iter().map(ask).collect();
    let mut answers = Answers::default();
    for answer in asked {
        match answer.await {
            Ok(answered) => answers.replies.push(answered),
            Err(missing) => answers.missing.push(missing),
        }
    }
    if answers.replies.is_empty() {
        let line = format!("no VM answers: {}", answers.missing_text());
        return Err(Failure::Failed(line.into()));
    }
    Ok(answers)
}

impl Target {
    fn at(address: SocketAddr) -> Self {
        Self {
            name: address.to_string().into(),
            address: Some(address),
        }
    }
}

impl Answers {
    /// A note about VMs without an answer; empty if all answered.
    pub(super) fn note(&self) -> String {
        if self.missing.is_empty() {
            return String::new();
        }
        format!("incomplete, no answer from {}", self.missing_text())
    }

    /// Names of VMs without an answer.
    pub(super) fn missing_names(&self) -> Vec<Arc<str>> {
        self.missing.iter().map(|m| Arc::clone(&m.vm)).collect()
    }

    fn missing_text(&self) -> String {
        let parts: Vec<String> = self
            .missing
            .iter()
            .map(|m| format!("{} ({})", m.vm, m.cause))
            .collect();
        parts.join(", ")
    }
}

async fn get(target: Target, path: Arc<str>) -> Result<Answered, Missing> {
    let missing = |cause: &str| Missing {
        vm: Arc::clone(&target.name),
        cause: cause.into(),
    };
    let Some(address) = target.address else {
        return Err(missing("its operator address is not known"));
    };
    let reply = call::call(address, Method::GET, &path, None, control::CALL_TIMEOUT).await;
    match reply {
        Ok(reply) if reply.status == control::STATUS_OK => Ok(Answered {
            vm: target.name,
            reply,
        }),
        Ok(reply) => Err(missing(&format!("status {}", reply.status))),
        Err(error) => Err(missing(&error.to_string())),
    }
}
