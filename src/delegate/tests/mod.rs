//! Tests of delegations.

mod carrier;
mod desk;
mod fixture;
mod live;
mod office;
mod properties;
mod right;
mod store;
mod takeover;
mod world;
