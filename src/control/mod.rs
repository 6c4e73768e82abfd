//! The control daemon: the replicated state and its interfaces.
//!
//! Each control VM runs [`daemon::run`]. Its log ([`crate::log`]) holds the
//! commands of all stores ([`command`]); [`state`] is the result of applying them.
//! [`rpc_handler`] serves other processes and [`operator`] serves operators over
//! HTTP. The leader decides on delegations ([`leader_tasks`]). Other processes
//! call the leader through [`leader_client`].

pub mod api;
pub mod command;
pub mod daemon;
pub mod info;
pub mod leader_client;
pub mod leader_tasks;
pub mod operator;
pub mod propose;
pub mod rpc_handler;
pub mod state;
pub mod status;

pub use command::{Applied, Command};
