//! The routing table: which service a request goes to, with which limits.
//!
//! While one document describes one service, the table has the routes of all services
//! under one version, so that operators replace or patch all of it at once. A [`Store`]
//! in the replicated log accepts one change at a time, based on the current version;
//! [`Lookup`] finds the route of a request. Entry VMs maintain their copy of the table
//! by [`Update`]s, which contain what changed.

pub mod change;
pub mod lookup;
pub mod model;
pub mod modified;
pub mod size;
pub mod source;
pub mod store;
#[cfg(test)]
mod tests;
pub mod validate;

pub use change::{Body, Change, Patch, Update};
pub use lookup::Lookup;
pub use model::{
    Delivery, Destination, Idempotency, Limits, Route, Service, Table, Warmup, WeightedService,
};
pub use source::Source;
pub use store::{Outcome, Store};
pub use validate::ValidationError;
