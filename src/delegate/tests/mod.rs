//! Tests of delegations.

mod fixture;
mod handler;
mod lease;
mod loopback;
mod manager;
mod planner;
mod properties;
mod simulation;
mod store;
mod takeover;
