//! Tests of delegations.

mod desk;
mod fixture;
mod office;
mod right;
mod store;
