//! The time line: what happened, in an order that no effect breaks.
//!
//! Every process keeps a [`Journal`]. Each event gets a [`Stamp`] of a hybrid
//! logical clock, and every message between processes carries the sender's
//! stamp, so that merged events never show an effect before its cause.

pub mod event;
pub mod journal;
pub mod stamp;

pub use event::Event;
pub use journal::Journal;
pub use stamp::Stamp;
