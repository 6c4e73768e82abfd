//! # agateyoke
//!
//! A router for servers that own their keys exclusively.

pub mod admit;
pub mod announce;
pub mod claim;
pub mod client;
pub mod clock;
pub mod control;
pub mod delegate;
pub mod document;
pub mod entry;
pub mod fields;
pub mod grant;
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
pub mod timeline;
pub mod timing;
pub mod verdict;
pub mod web;

#[cfg(test)]
mod tests;
