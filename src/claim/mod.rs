//! Claims: requests that run at most once and whose success must survive.
//!
//! Before a claim is sent to a backend server, the entry VM puts a record
//! under the claim's id into the replicated log, unless there is one. The
//! outcome is added to the record before the caller hears of success. A second
//! request with the same id finds the record and gets its outcome.

pub mod messages;
