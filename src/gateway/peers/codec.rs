//! Datagrams in which entry VMs report the load of backend servers to each other.
//!
//! Big endian: version (1 byte), sender (8), sequence number (8), then entries to the end of the
//! datagram. An entry is the server (4), requests in flight (2) and the age of the newest load that
//! the server reported to the sender (1, in units of 10 ms); unless the age is 255, the reported
//! requests (2) and the reported time of work in percent (2) follow.

use std::time::Duration;

use super::{ServerHash, VmHash};

/// Version of the encoding.
const VERSION: u8 = 1;

/// Unit of the age of a report.
const AGE_UNIT_MS: u16 = 10;

/// Age that stands for no report.
const NO_REPORT: u8 = u8::MAX;

/// Bytes before the entries.
const HEADER_BYTES: usize = 17;

/// Bytes of an entry with a report.
const ENTRY_BYTES: usize = 11;

/// Entries of a datagram at the most, so that it fits into an unfragmented IP packet.
pub const MAX_ENTRIES: usize = 100;

/// Longest datagram.
pub const MAX_BYTES: usize = HEADER_BYTES + MAX_ENTRIES * ENTRY_BYTES;

/// Load of several backend servers as one entry VM sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Entry VM that sent it.
    pub sender: VmHash,
    /// Rises with each datagram of the sender.
    pub sequence: u64,
    /// Servers whose load changed.
    pub entries: Vec<Entry>,
}

/// Load of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Backend server.
    pub server: ServerHash,
    /// Requests of the sender in flight there.
    pub in_flight: u16,
    /// Newest load that the server reported to the sender.
    pub report: Option<AgedReport>,
}

/// Load that a server reported some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgedReport {
    /// Running and waiting requests.
    pub requests: u16,
    /// How long work takes, in percent of what is usual; 0 if the server doesn't report it.
    pub percent: u16,
    /// Time since the report.
    pub age: Duration,
}

/// Encodes a datagram; entries beyond [`MAX_ENTRIES`] are left out.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let count = datagram.entries.len().min(MAX_ENTRIES);
    let mut bytes = Vec::with_capacity(HEADER_BYTES + count * ENTRY_BYTES);
    bytes.push(VERSION);
    bytes.extend_from_slice(&datagram.sender.to_be_bytes());
    bytes.extend_from_slice(&datagram.sequence.to_be_bytes());
    for entry in datagram.entries.iter().take(MAX_ENTRIES) {
        bytes.extend_from_slice(&entry.server.to_be_bytes());
        bytes.extend_from_slice(&entry.in_flight.to_be_bytes());
        let age = entry.report.and_then(|r| age_units(r.age));
        bytes.push(age.unwrap_or(NO_REPORT));
        if let (Some(report), Some(_)) = (entry.report, age) {
            bytes.extend_from_slice(&report.requests.to_be_bytes());
            bytes.extend_from_slice(&report.percent.to_be_bytes());
        }
    }
    bytes
}

/// Age of a report in units, unless it is too old to be sent.
fn age_units(age: Duration) -> Option<u8> {
    let units = age.as_millis() / u128::from(AGE_UNIT_MS);
    u8::try_from(units).ok().filter(|u| *u != NO_REPORT)
}

/// Decodes a datagram; `None` if it is malformed.
pub fn decode(bytes: &[u8]) -> Option<Datagram> {
    let mut bytes = bytes;
    let [version] = take(&mut bytes)?;
    if version != VERSION {
        return None;
    }
    let sender = VmHash::from_be_bytes(take(&mut bytes)?);
    let sequence = u64::from_be_bytes(take(&mut bytes)?);
    let mut entries = Vec::new();
    while !bytes.is_empty() {
        if entries.len() == MAX_ENTRIES {
            return None;
        }
        entries.push(decode_entry(&mut bytes)?);
    }
    Some(Datagram {
        sender,
        sequence,
        entries,
    })
}

fn decode_entry(bytes: &mut &[u8]) -> Option<Entry> {
    let server = ServerHash::from_be_bytes(take(bytes)?);
    let in_flight = u16::from_be_bytes(take(bytes)?);
    let [age] = take(bytes)?;
    let report = match age {
        NO_REPORT => None,
        age => Some(AgedReport {
            requests: u16::from_be_bytes(take(bytes)?),
            percent: u16::from_be_bytes(take(bytes)?),
            age: Duration::from_millis(u64::from(age) * u64::from(AGE_UNIT_MS)),
        }),
    };
    Some(Entry {
        server,
        in_flight,
        report,
    })
}

/// Takes the first `N` bytes.
fn take<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    let (first, rest) = bytes.split_first_chunk()?;
    *bytes = rest;
    Some(*first)
}
