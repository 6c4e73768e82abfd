//! Type aliases of names and numbers that identify services, VMs, grants and so on.
//!
//! Numbers stay below 2^53, so that every JSON parser reads them exactly.

use std::sync::Arc;

/// Name of a service, as in the document.
pub type ServiceName = Arc<str>;

/// Name of an availability zone.
pub type ZoneName = Arc<str>;

/// Name of a VM that runs a daemon.
pub type VmName = Arc<str>;

/// Name of a backend server.
pub type ServerName = Arc<str>;

/// Random id of one start of a backend server.
pub type Incarnation = Arc<str>;

/// Id that an operator chooses for a change of a document.
pub type ChangeId = Arc<str>;

/// Id that a caller chooses for a claim.
pub type ClaimId = Arc<str>;

/// Version of a document, starting at 1.
pub type Version = u64;

/// Index in the replicated log, starting at 1.
pub type LogIndex = u64;

/// Election term of the replicated log.
pub type LogTerm = u64;

/// Number of a delegation; increases with each delegation in the log.
pub type Epoch = u64;

/// Fencing token of a grant; a later grant of the same key has a higher one.
pub type Fence = u64;

/// Version of a route map within one epoch.
pub type MapVersion = u64;
