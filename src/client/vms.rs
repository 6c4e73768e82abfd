//! Requests to all VMs of the system.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Method;

use super::call::{self, HttpResponse};
use super::control_client::{self, ControlClient};
use super::result::CommandError;
use crate::control::api;

/// VM to which a request is sent.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Name of the VM, or the address if the operator gave an address.
    pub(super) name: Arc<str>,
    address: Option<SocketAddr>,
}

/// Responses of the VMs.
#[derive(Debug, Default)]
pub(super) struct Responses {
    /// Responses, in the order of the targets.
    pub(super) received: Vec<VmResponse>,
    /// VMs without a successful response.
    pub(super) missing: Vec<MissingVm>,
}

/// Response of one VM.
#[derive(Debug)]
pub(super) struct VmResponse {
    /// Name of the VM.
    pub(super) vm: Arc<str>,
    /// Response of the VM.
    pub(super) response: HttpResponse,
}

/// VM without a successful response.
#[derive(Debug)]
pub(super) struct MissingVm {
    vm: Arc<str>,
    cause: Arc<str>,
}

/// Returns the VMs at the given addresses, by default all that the control VMs know.
pub(super) async fn targets(
    control: &ControlClient,
    given: Option<&str>,
) -> Result<Vec<Target>, CommandError> {
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

/// Gets `path` from all targets concurrently.
pub(super) async fn get_all(targets: Vec<Target>, path: &str) -> Result<Responses, CommandError> {
    let path: Arc<str> = path.into();
    let spawn_get = |target: Target| monoio::spawn(get(target, Arc::clone(&path)));
    let tasks: Vec<_> = targets.into_iter().map(spawn_get).collect();
    let mut responses = Responses::default();
    for task in tasks {
        match task.await {
            Ok(vm_response) => responses.received.push(vm_response),
            Err(missing) => responses.missing.push(missing),
        }
    }
    if responses.received.is_empty() {
        let message = format!("no VM answers: {}", responses.missing_text());
        return Err(CommandError::Failed(message.into()));
    }
    Ok(responses)
}

impl Target {
    fn at(address: SocketAddr) -> Self {
        Self {
            name: address.to_string().into(),
            address: Some(address),
        }
    }
}

impl Responses {
    /// Note about the missing VMs; empty if all responded.
    pub(super) fn note(&self) -> String {
        if self.missing.is_empty() {
            return String::new();
        }
        format!("incomplete, no answer from {}", self.missing_text())
    }

    /// Names of the missing VMs.
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

async fn get(target: Target, path: Arc<str>) -> Result<VmResponse, MissingVm> {
    let missing = |cause: &str| MissingVm {
        vm: Arc::clone(&target.name),
        cause: cause.into(),
    };
    let Some(address) = target.address else {
        return Err(missing("its operator address is not known"));
    };
    let response = call::call(
        address,
        Method::GET,
        &path,
        None,
        control_client::CALL_TIMEOUT,
    )
    .await;
    match response {
        Ok(response) if response.status == control_client::STATUS_OK => Ok(VmResponse {
            vm: target.name,
            response,
        }),
        Ok(response) => Err(missing(&format!("status {}", response.status))),
        Err(error) => Err(missing(&error.to_string())),
    }
}
