//! Validation of heartbeats.

use std::fmt;

use crate::grant::{Grant, LeaseRequest};
use crate::ids;
use crate::keys;

/// Longest name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Largest number of slots of one server.
const MAX_SLOTS: u32 = 10_000;

/// Largest number of grants in one heartbeat.
const MAX_GRANTS: usize = 8192;

/// Numbers must be below 2^53, so that any JSON parser represents them exactly.
const NUMBER_BOUND: u64 = 1 << 53;

/// Why a heartbeat is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidHeartbeat {
    /// A name is empty, too long or has characters other than letters, digits, `.`, `_` and `-`.
    Name(&'static str),
    /// The server is in another zone than this VM, whose zone is given.
    Zone(ids::ZoneName),
    /// The number of slots is not within 1 to 10000.
    Slots(u32),
    /// The port of the address is 0.
    Port,
    /// A server that checks fences must number its heartbeats from 1.
    Sequence,
    /// A span ends before it starts or beyond the key space.
    Span(u64, u64),
    /// A number is not below 2^53.
    Number,
    /// More grants than a heartbeat may name.
    Grants(usize),
    /// Too many servers send heartbeats to this VM.
    Servers,
}

impl fmt::Display for InvalidHeartbeat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(field) => write!(
                f,
                "`{field}` must have 1 to {MAX_NAME_BYTES} letters, digits, `.`, `_` or `-`"
            ),
            Self::Zone(own) => write!(f, "this VM serves availability zone `{own}` only"),
            Self::Slots(slots) => write!(f, "`slots` is {slots}, allowed are 1 to {MAX_SLOTS}"),
            Self::Port => write!(f, "`address` has port 0"),
            Self::Sequence => write!(f, "a server that checks numbers its questions by `beat`"),
            Self::Span(start, end) => write!(f, "span {start} to {end} is not in the key space"),
            Self::Number => write!(f, "`beat` and `fence` must be below 2^53"),
            Self::Grants(count) => write!(f, "{count} grants named, at most {MAX_GRANTS}"),
            Self::Servers => write!(f, "too many backend servers announced themselves here"),
        }
    }
}

impl std::error::Error for InvalidHeartbeat {}

/// Checks all that does not depend on earlier heartbeats.
pub(super) fn check(zone: &ids::ZoneName, request: &LeaseRequest) -> Result<(), InvalidHeartbeat> {
    name("service", &request.service)?;
    name("zone", &request.zone)?;
    name("server", &request.server)?;
    name("incarnation", &request.incarnation)?;
    let count = request
        .held_grants
        .len()
        .saturating_add(request.finishing_grants.len());
    let grants = || request.held_grants.iter().chain(&request.finishing_grants);
    match () {
        () if request.zone != *zone => Err(InvalidHeartbeat::Zone(ids::ZoneName::clone(zone))),
        () if !(1..=MAX_SLOTS).contains(&request.slots) => {
            Err(InvalidHeartbeat::Slots(request.slots))
        }
        () if request.address.port() == 0 => Err(InvalidHeartbeat::Port),
        () if request.checks_fences && request.sequence == 0 => Err(InvalidHeartbeat::Sequence),
        () if request.sequence >= NUMBER_BOUND => Err(InvalidHeartbeat::Number),
        () if count > MAX_GRANTS => Err(InvalidHeartbeat::Grants(count)),
        () => grants().try_for_each(grant),
    }
}

fn name(field: &'static str, text: &str) -> Result<(), InvalidHeartbeat> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let valid_length = (1..=MAX_NAME_BYTES).contains(&text.len());
    if valid_length && text.chars().all(is_allowed) {
        Ok(())
    } else {
        Err(InvalidHeartbeat::Name(field))
    }
}

fn grant(grant: &Grant) -> Result<(), InvalidHeartbeat> {
    let keys::Span { start, end } = grant.span;
    match () {
        () if start > end || end >= keys::HASH_SPACE => Err(InvalidHeartbeat::Span(start, end)),
        () if grant.fence >= NUMBER_BOUND => Err(InvalidHeartbeat::Number),
        () => Ok(()),
    }
}
