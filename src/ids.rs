//! Names and numbers that identify things.
//!
//! Every process speaks of services, VMs and fences in the same few types.
//! Numbers stay below 2^53, so that any JSON reader keeps them exact.

use std::sync::Arc;

/// Name of a service, as its document gives it.
pub type ServiceName = Arc<str>;

/// Name of an availability zone.
pub type ZoneName = Arc<str>;

/// Name of a VM that runs a daemon.
pub type VmName = Arc<str>;

/// Name of a backend server.
pub type ServerName = Arc<str>;

/// Random name of one start of a backend server.
pub type Incarnation = Arc<str>;

/// Id that an operator gives to one change of a document.
pub type ChangeId = Arc<str>;

/// Id that a caller gives to one claim.
pub type ClaimId = Arc<str>;

/// Version of a document, 1 for the first.
pub type Version = u64;

/// Position in the replicated log, 1 for the first entry.
pub type LogIndex = u64;

/// Election term of the replicated log.
pub type LogTerm = u64;

/// Number of a delegation; each one in the log has a higher number.
pub type Epoch = u64;

/// Number of a grant; a later grant of a key has a higher fence.
pub type Fence = u64;

/// Version of a route map within one epoch.
pub type MapVersion = u64;
