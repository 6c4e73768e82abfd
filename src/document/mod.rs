//! The document of a service: its routes, placement and limits.
//!
//! The team that runs a service owns its document and changes routing only by
//! changing it. A change names the version it was made from, so that of two
//! concurrent changes one is refused, and carries an id, so that it can be
//! retried.

pub mod check;
pub mod diff;
pub mod matcher;
pub mod model;
pub mod pattern;
pub mod store;

#[cfg(test)]
mod tests;

pub use check::check;
pub use matcher::{MatchError, Matcher, RouteMatch};
pub use model::{Document, Idempotency, Limits, Placement, Route};
pub use store::Store;
