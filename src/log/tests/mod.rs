//! Tests of the log: property tests of the files, and small clusters on loopback.

mod bytes;
mod cluster;
mod discovery;
mod faults;
mod harness;
mod losses;
mod placement;
mod slow_snapshot;
mod state;
mod storage;
