//! Tests of the log: files by properties, members by small clusters on loopback.

mod aside;
mod bench;
mod cluster;
mod faults;
mod files;
mod open;
mod rules;
