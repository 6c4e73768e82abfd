//! Segments: files that entries are appended to, in frames.
//!
//! A frame holds all entries of one write: length, checksum of the length,
//! checksum of the body, body. The last write before a crash may be torn, and
//! then it is the last frame of the last segment; that one is cut off. Any
//! other damage is refused, because what it destroyed had been synced. The
//! length has its own checksum, so that a changed length cannot pass for a
//! torn tail.
//!
//! An entry whose index is not above the one before it replaces that entry
//! and all after it, so nothing is ever overwritten in place.

use super::codec;
use super::model::Entry;

/// Bytes before the body of a frame.
const HEADER_BYTES: usize = 12;

/// What is found in a frame that is whole, but of another make.
const UNKNOWN: &str = "a frame that holds no entries";

/// Damage found in a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Damage {
    /// Byte at which the damaged frame begins.
    pub(super) offset: usize,
    /// What was found.
    pub(super) found: &'static str,
    /// Whether no whole frame follows, so that it may be a torn write.
    pub(super) tail: bool,
}

/// What a segment holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Scan {
    /// Entries before any damage.
    pub(super) entries: Vec<Entry>,
    /// The first damage.
    pub(super) damage: Option<Damage>,
}

/// Encodes entries as one frame.
pub(super) fn frame(entries: &[Entry]) -> Vec<u8> {
    let mut frame = vec![0; HEADER_BYTES];
    for entry in entries {
        codec::write(&mut frame, entry);
    }
    let body = frame.split_off(HEADER_BYTES);
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX).to_be_bytes();
    frame.clear();
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&crc32fast::hash(&length).to_be_bytes());
    frame.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Reads a whole segment.
pub(super) fn scan(bytes: &[u8]) -> Scan {
    let mut scan = Scan::default();
    let mut rest = bytes;
    while !rest.is_empty() {
        let offset = bytes.len() - rest.len();
        match next(rest) {
            Ok((entries, after)) => {
                scan.entries.extend(entries);
                rest = after;
            }
            Err(found) => {
                let tail = found != UNKNOWN && is_tail(rest);
                scan.damage = Some(Damage {
                    offset,
                    found,
                    tail,
                });
                return scan;
            }
        }
    }
    scan
}

/// Whether the damaged frame at the start of `bytes` reaches to their end.
fn is_tail(bytes: &[u8]) -> bool {
    match header(bytes) {
        Some((length, _)) => bytes.len() - HEADER_BYTES <= length,
        None => (1..bytes.len()).all(|at| bytes.get(at..).is_none_or(|b| next(b).is_err())),
    }
}

/// Length and checksum of the body; `None` if there is no whole header.
fn header(bytes: &[u8]) -> Option<(usize, u32)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (length_crc, rest) = rest.split_first_chunk::<4>()?;
    let (body_crc, _) = rest.split_first_chunk::<4>()?;
    let sound = crc32fast::hash(length) == u32::from_be_bytes(*length_crc);
    sound.then_some((
        u32::from_be_bytes(*length) as usize,
        u32::from_be_bytes(*body_crc),
    ))
}

fn next(bytes: &[u8]) -> Result<(Vec<Entry>, &[u8]), &'static str> {
    if bytes.len() < HEADER_BYTES {
        return Err("an incomplete header");
    }
    let (length, crc) = header(bytes).ok_or("a header whose checksum differs")?;
    let body = bytes.get(HEADER_BYTES..).unwrap_or_default();
    let (body, rest) = body.split_at_checked(length).ok_or("an incomplete frame")?;
    if crc32fast::hash(body) != crc {
        return Err("a frame whose checksum differs");
    }
    let entries = codec::read_all(body).ok_or(UNKNOWN)?;
    Ok((entries, rest))
}
