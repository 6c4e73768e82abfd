//! The control daemon: the replicated state and those who ask for it.
//!
//! Each control VM runs [`daemon::run`]. Its log ([`crate::log`]) holds the
//! commands of all slices ([`command`]), and [`state`] is what they add up to.
//! Other processes ask by calls ([`answer`]), operators by HTTP ([`operator`]);
//! the leader decides on delegations ([`lead`]). [`leader_client`] is the other
//! processes' way to the leader.

pub mod about;
pub mod answer;
pub mod api;
pub mod command;
pub mod daemon;
pub mod lead;
pub mod leader_client;
pub mod operator;
pub mod propose;
pub mod state;
pub mod status;

pub use command::{Applied, Command};
