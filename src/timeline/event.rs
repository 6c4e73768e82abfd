//! Events of the time line.

use std::fmt::Write;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::timestamp::Timestamp;
use crate::ids;
use crate::keys;

/// One event in one process.
///
/// Fields that do not apply to an event are `None` and omitted from its JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// Hybrid logical time.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
    /// Microseconds since the process started, by the monotonic clock.
    pub mono_us: u64,
    /// Sequence number within the process, starting at 1.
    pub seq: u64,
    /// VM on which the process runs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub vm: Option<ids::VmName>,
    /// Event type, such as `grant.given`.
    pub kind: Arc<str>,
    /// Service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<ids::ServiceName>,
    /// Availability zone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<ids::ZoneName>,
    /// Backend server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server: Option<ids::ServerName>,
    /// Span of key hashes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub span: Option<keys::Span>,
    /// Fence.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fence: Option<ids::Fence>,
    /// Epoch.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub epoch: Option<ids::Epoch>,
    /// Id of the document change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub change: Option<ids::ChangeId>,
    /// Id of the claim.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub claim: Option<ids::ClaimId>,
    /// Further details for people.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<Arc<str>>,
}

impl Event {
    /// Creates an event of type `kind`.
    ///
    /// [`Journal::record`](super::Journal::record) sets timestamp, VM and sequence number.
    pub fn new(kind: &str) -> Self {
        Self {
            kind: kind.into(),
            ..Self::default()
        }
    }

    /// Sets the service.
    #[must_use]
    pub fn service(mut self, service: &ids::ServiceName) -> Self {
        self.service = Some(Arc::clone(service));
        self
    }

    /// Sets the availability zone.
    #[must_use]
    pub fn zone(mut self, zone: &ids::ZoneName) -> Self {
        self.zone = Some(Arc::clone(zone));
        self
    }

    /// Sets the backend server.
    #[must_use]
    pub fn server(mut self, server: &ids::ServerName) -> Self {
        self.server = Some(Arc::clone(server));
        self
    }

    /// Sets the span of key hashes.
    #[must_use]
    pub fn span(mut self, span: keys::Span) -> Self {
        self.span = Some(span);
        self
    }

    /// Sets the fence.
    #[must_use]
    pub fn fence(mut self, fence: ids::Fence) -> Self {
        self.fence = Some(fence);
        self
    }

    /// Sets the epoch.
    #[must_use]
    pub fn epoch(mut self, epoch: ids::Epoch) -> Self {
        self.epoch = Some(epoch);
        self
    }

    /// Sets the document change.
    #[must_use]
    pub fn change(mut self, change: &ids::ChangeId) -> Self {
        self.change = Some(Arc::clone(change));
        self
    }

    /// Sets the claim.
    #[must_use]
    pub fn claim(mut self, claim: &ids::ClaimId) -> Self {
        self.claim = Some(Arc::clone(claim));
        self
    }

    /// Sets the detail.
    #[must_use]
    pub fn detail(mut self, detail: &str) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Formats the event as one line of key=value pairs; text is quoted and escaped.
    pub fn log_line(&self) -> String {
        let mut line = format!(
            "event={} hlc={}.{}",
            self.kind, self.timestamp.wall_ms, self.timestamp.counter
        );
        let texts = [
            ("vm", &self.vm),
            ("service", &self.service),
            ("zone", &self.zone),
            ("server", &self.server),
            ("change", &self.change),
            ("claim", &self.claim),
            ("detail", &self.detail),
        ];
        for (key, value) in texts {
            if let Some(value) = value {
                let _ = write!(line, " {key}={value:?}");
            }
        }
        if let Some(span) = self.span {
            let _ = write!(line, " span={span}");
        }
        for (key, value) in [("fence", self.fence), ("epoch", self.epoch)] {
            if let Some(value) = value {
                let _ = write!(line, " {key}={value}");
            }
        }
        line
    }
}
