//! The time line: events of all processes in an order that respects causality.
//!
//! Every process keeps a [`Journal`]. Each event gets a [`Timestamp`] of a
//! hybrid logical clock, and every message between processes carries a
//! timestamp of its sender, so that merged events never show an effect before
//! its cause.

pub mod event;
pub mod journal;
pub mod timestamp;

pub use event::Event;
pub use journal::Journal;
pub use timestamp::Timestamp;
