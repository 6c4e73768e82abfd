//! # agateyoke
//!
//! A router for servers that own their keys exclusively.
//!
//! A team describes its service in one [`document`]. The control VMs keep it in
//! a replicated [`log`] of their own ([`control`]), together with
//! [delegations](delegate) of key [spans](keys) to availability zones and the
//! records of [claims](claim). In each zone one entry VM carries the duty of
//! [granting](grant) spans to the backend servers that
//! send [heartbeats](heartbeat), [placed](place) by load. Every entry VM
//! holds [route maps](route) that run out by themselves, [admits](admit)
//! callers' requests by rank and passes them to the owner of their key
//! ([`entry`]). Each answer says whether the request may have run
//! ([`verdict`]).
//!
//! The daemons and the client only read their arguments and settings and call
//! this library, which can be used alone. A document is checked like this:
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
