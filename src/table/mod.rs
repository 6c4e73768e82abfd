//! The routing table: which service a request goes to, and on which terms.
//!
//! Where one document describes one service, the table puts the routes of all
//! services under one version, so that operators replace or patch it whole. A
//! [`Store`] in the replicated log takes one change at a time, made on top of
//! the version in force; [`Lookup`] finds the route of a request. Entry VMs keep
//! their copy of the table by [`Update`]s, which hold what changed.

pub mod change;
pub mod lookup;
pub mod model;
pub mod modified;
pub mod store;
#[cfg(test)]
mod tests;
pub mod validate;

pub use change::{Body, Change, Patch, Update};
pub use lookup::Lookup;
pub use model::{Destination, Idempotency, Limits, Route, Service, Table, WeightedService};
pub use store::{Outcome, Store};
pub use validate::ValidationError;
