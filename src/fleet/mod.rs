//! Backend servers that announce themselves, and which of them holds which keys.
//!
//! The control VMs keep both in the replicated log: who is there ([`store`])
//! and who holds which span of keys under which fence ([`ranges`]). A backend
//! server heartbeats to any control VM; its heartbeat reaches the leader, whose
//! [`coordinator`] answers with the spans it holds and their lease. What only the
//! leader must know, such as when a lease ends, stays in its memory
//! ([`leases`]); a new leader waits for what it can't know. [`plan`] decides
//! which spans move. Entry VMs follow all of it as [`news`], of which long ones go [`packed`].
//!
//! A span changes hands in two steps. First the log names the next owner, and
//! from then on the old one is no longer given the span. Once the old owner
//! has reported that it let go, is proved dead, or its lease has run out, the
//! next heartbeat of the new owner is answered with the span and a fence above
//! all before it. A refused connection proves no end: a cut may refuse as well.

pub mod coordinator;
pub mod daemon;
pub mod encoding;
pub mod frontend;
pub mod leases;
pub mod load;
pub mod messages;
pub mod model;
pub mod plan;
pub mod ranges;
pub mod reassign;
pub mod store;
#[cfg(test)]
mod tests;
pub mod updates;

pub use model::{Incarnation, Key, KeyRange, Server, ServerState, Vm, VmRole};
pub use store::{Change, Store};
