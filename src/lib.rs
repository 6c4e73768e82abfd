//! # agateyoke
//!
//! Request router for services whose keys are each owned by one backend server.
//!
//! A service is described by one [`document`]. The control VMs ([`control`]) store
//! it in a replicated [`log`], together with [delegations](delegate) of key
//! [spans](keys) to availability zones and the records of [claims](claim). In
//! each zone one entry VM, the primary, [grants](grant) spans to the backend
//! servers that send [heartbeats](heartbeat) and [places](place) them by load.
//! Every entry VM ([`entry`]) holds [route maps](route) that expire, [admits](admit)
//! callers' requests by rank and forwards each to the owner of its key. Each
//! response says whether the request may have run ([`verdict`]).
//!
//! The daemons and the client only parse arguments and settings and call this
//! library, which can also be used alone. This checks a document:
//!
//! ```
//! use agateyoke::document::check;
//!
//! let text = r#"{
//!     "service": "rota",
//!     "ranks": ["claim", "lookup"],
//!     "routes": [{
//!         "name": "claim-day", "method": "POST", "path": "/wells/{well}/claims",
//!         "key": "path:wel", "rank": "claim", "repeat": "claim", "deadline_ms": 2000
//!     }]
//! }"#;
//! let findings = check::check(text).unwrap_err();
//! assert_eq!(findings.len(), 1);
//! ```

pub mod admit;
pub mod claim;
pub mod client;
pub mod clock;
pub mod control;
pub mod delegate;
pub mod document;
pub mod entry;
pub mod fields;
pub mod fleet;
pub mod gateway;
pub mod grant;
pub mod heartbeat;
pub mod ids;
pub mod keys;
pub mod log;
pub mod notify;
pub mod place;
pub mod route;
pub mod rpc;
pub mod runtime;
pub mod settings;
pub mod signals;
pub mod table;
pub mod timeline;
pub mod timing;
pub mod verdict;
pub mod web;

#[cfg(test)]
mod tests;
