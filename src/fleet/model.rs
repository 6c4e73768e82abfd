//! Backend servers, VMs and ranges of keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::ids;

/// Key of a request; keys are in order, and neighbours are alike.
pub type Key = u16;

/// What a owner that let go of keys gives to the next one.
pub type HandoverToken = Arc<str>;

/// One incarnation of a backend server: a restart under the same name is another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name.
    pub server: ids::ServerName,
    /// Start, in milliseconds since the Unix epoch by its own clock; orders its lives.
    #[serde(rename = "born")]
    pub start_ms: u64,
}

/// How a backend server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It is about to leave and takes no new requests.
    Draining,
    /// It said that it leaves; it may still run and hold keys.
    Left,
    /// It is proved to have ended.
    Gone,
}

/// A backend server as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Name and start.
    #[serde(flatten)]
    pub incarnation: Incarnation,
    /// Service.
    pub service: ids::ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// How it stands.
    #[serde(rename = "standing")]
    pub state: ServerState,
    /// How long it stays slow, from when it was first heard.
    #[serde(rename = "cold", with = "clock::millis")]
    pub warmup: Duration,
}

/// What a VM does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// It serves callers.
    Entry,
    /// It keeps the log.
    Control,
}

/// A VM of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: ids::VmName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address for calls between processes.
    pub address: SocketAddr,
    /// What it does.
    #[serde(rename = "part")]
    pub role: VmRole,
}

/// Keys in a range, both ends included, and who holds them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Holder, if there ever was one.
    #[serde(rename = "holder", default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Incarnation>,
    /// Fence of that owner; 0 without one.
    pub fence: ids::Fence,
    /// What the owner before it handed over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<HandoverToken>,
    /// Who is to hold it next.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<NextOwner>,
    /// Log position of its last change.
    pub changed: ids::LogIndex,
}

/// The next owner of a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NextOwner {
    /// Who.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Log position from which on the present owner is no longer given the range.
    pub since: ids::LogIndex,
}

impl KeyRange {
    /// Number of keys.
    pub fn width(&self) -> u32 {
        u32::from(self.to.saturating_sub(self.from)) + 1
    }

    /// Whether it shares a key with another span.
    pub const fn overlaps(&self, from: Key, to: Key) -> bool {
        self.from <= to && from <= self.to
    }
}
