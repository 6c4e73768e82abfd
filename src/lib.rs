//! # agateyoke
//!
//! A router for servers that own their keys exclusively.

pub mod claim;
pub mod client;
pub mod clock;
pub mod control;
pub mod delegate;
pub mod document;
pub mod fields;
pub mod grant;
pub mod ids;
pub mod keys;
pub mod notify;
pub mod route;
pub mod rpc;
pub mod runtime;
pub mod settings;
pub mod timeline;
pub mod timing;
pub mod verdict;

#[cfg(test)]
mod tests;
