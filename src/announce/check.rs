//! Checks of what a backend server says of itself.

use std::fmt;

use crate::grant::{Grant, LeaseRequest};
use crate::ids;
use crate::keys;

/// Bytes of a name, at most.
const NAME_LIMIT: usize = 64;

/// Slots of one server, at most.
const SLOTS_LIMIT: u32 = 10_000;

/// Grants that one server can name, at most.
const GRANTS_LIMIT: usize = 8192;

/// Numbers are below 2^53, so that any JSON reader keeps them exact.
const NUMBER_LIMIT: u64 = 1 << 53;

/// Why an announcement is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadAnnouncement {
    /// A name is empty, too long or has characters other than letters, digits, `.`, `_` and `-`.
    Name(&'static str),
    /// The server is in another zone.
    Zone(ids::ZoneName),
    /// Slots outside of 1 to 10000.
    Slots(u32),
    /// The port of the address is 0.
    Port,
    /// A server that checks has to number its questions from 1.
    Beat,
    /// A span ends before it starts or beyond the space.
    Span(u64, u64),
    /// A number is not below 2^53.
    Number,
    /// More grants than a server can have.
    Grants(usize),
    /// Too many servers announced themselves here.
    Servers,
}

impl fmt::Display for BadAnnouncement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(field) => write!(
                f,
                "`{field}` must have 1 to {NAME_LIMIT} letters, digits, `.`, `_` or `-`"
            ),
            Self::Zone(own) => write!(f, "this VM serves availability zone `{own}` only"),
            Self::Slots(slots) => write!(f, "`slots` is {slots}, allowed are 1 to {SLOTS_LIMIT}"),
            Self::Port => write!(f, "`address` has port 0"),
            Self::Beat => write!(f, "a server that checks numbers its questions by `beat`"),
            Self::Span(start, end) => write!(f, "span {start} to {end} is not in the key space"),
            Self::Number => write!(f, "`beat` and `fence` must be below 2^53"),
            Self::Grants(count) => write!(f, "{count} grants named, at most {GRANTS_LIMIT}"),
            Self::Servers => write!(f, "too many backend servers announced themselves here"),
        }
    }
}

impl std::error::Error for BadAnnouncement {}

/// Checks all that does not depend on what stands already.
pub(super) fn check(zone: &ids::ZoneName, request: &LeaseRequest) -> Result<(), BadAnnouncement> {
    name("service", &request.service)?;
    name("zone", &request.zone)?;
    name("server", &request.server)?;
    name("incarnation", &request.incarnation)?;
    let named = request
        .held_grants
        .len()
        .saturating_add(request.finishing_grants.len());
    let grants = || request.held_grants.iter().chain(&request.finishing_grants);
    match () {
        () if request.zone != *zone => Err(BadAnnouncement::Zone(ids::ZoneName::clone(zone))),
        () if !(1..=SLOTS_LIMIT).contains(&request.slots) => {
            Err(BadAnnouncement::Slots(request.slots))
        }
        () if request.address.port() == 0 => Err(BadAnnouncement::Port),
        () if request.checks_fences && request.sequence == 0 => Err(BadAnnouncement::Beat),
        () if request.sequence >= NUMBER_LIMIT => Err(BadAnnouncement::Number),
        () if named > GRANTS_LIMIT => Err(BadAnnouncement::Grants(named)),
        () => grants().try_for_each(grant),
    }
}

fn name(field: &'static str, text: &str) -> Result<(), BadAnnouncement> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let fits = (1..=NAME_LIMIT).contains(&text.len());
    if fits && text.chars().all(plain) {
        Ok(())
    } else {
        Err(BadAnnouncement::Name(field))
    }
}

fn grant(grant: &Grant) -> Result<(), BadAnnouncement> {
    let keys::Span { start, end } = grant.span;
    match () {
        () if start > end || end >= keys::HASH_SPACE => Err(BadAnnouncement::Span(start, end)),
        () if grant.fence >= NUMBER_LIMIT => Err(BadAnnouncement::Number),
        () => Ok(()),
    }
}
