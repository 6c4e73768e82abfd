//! Segments: files to which entries are appended in frames.
//!
//! A frame holds the entries of one write: length, checksum of the length,
//! checksum of the body, body. A crash may tear the last write, which is then
//! the last frame of the last segment; it is truncated when the segment is
//! read. Any other corruption is an error, because it affects synced entries.
//! The length has a checksum of its own, so that a corrupt length is not taken
//! for a torn write.
//!
//! An entry whose index is not above that of the previous entry replaces the
//! entry with the same index and all later ones, so that no bytes are
//! overwritten in place.

use super::codec;
use super::model::Entry;

/// Size of the length and the checksums before the body of a frame.
const HEADER_BYTES: usize = 12;

/// Problem of a frame with correct checksums that does not decode as entries.
const MALFORMED_ENTRIES: &str = "frame with malformed entries";

/// Corruption found in a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Corruption {
    /// Offset of the corrupt frame in bytes.
    pub(super) offset: usize,
    /// What is wrong with the frame.
    pub(super) problem: &'static str,
    /// Whether no complete frame follows, so that this may be a torn write.
    pub(super) at_tail: bool,
}

/// Result of reading a segment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Scan {
    /// Entries before the first corruption.
    pub(super) entries: Vec<Entry>,
    /// First corruption.
    pub(super) corruption: Option<Corruption>,
}

/// Encodes entries as one frame.
pub(super) fn encode_frame(entries: &[Entry]) -> Vec<u8> {
    let mut frame = vec![0; HEADER_BYTES];
    for entry in entries {
        codec::encode_entry(&mut frame, entry);
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

/// Decodes the content of a segment, up to the first corruption.
pub(super) fn scan(bytes: &[u8]) -> Scan {
    let mut scan = Scan::default();
    let mut rest = bytes;
    while !rest.is_empty() {
        let offset = bytes.len() - rest.len();
        match decode_frame(rest) {
            Ok((entries, after)) => {
                scan.entries.extend(entries);
                rest = after;
            }
            Err(problem) => {
                let at_tail = problem != MALFORMED_ENTRIES && is_at_tail(rest);
                scan.corruption = Some(Corruption {
                    offset,
                    problem,
                    at_tail,
                });
                return scan;
            }
        }
    }
    scan
}

/// Whether the corrupt frame at the start of `bytes` extends to their end.
fn is_at_tail(bytes: &[u8]) -> bool {
    match decode_header(bytes) {
        Some((length, _)) => bytes.len() - HEADER_BYTES <= length,
        None => (1..bytes.len()).all(|at| bytes.get(at..).is_none_or(|b| decode_frame(b).is_err())),
    }
}

/// Length and checksum of the body; `None` if the header is incomplete or corrupt.
fn decode_header(bytes: &[u8]) -> Option<(usize, u32)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (length_crc, rest) = rest.split_first_chunk::<4>()?;
    let (body_crc, _) = rest.split_first_chunk::<4>()?;
    let intact = crc32fast::hash(length) == u32::from_be_bytes(*length_crc);
    intact.then_some((
        u32::from_be_bytes(*length) as usize,
        u32::from_be_bytes(*body_crc),
    ))
}

fn decode_frame(bytes: &[u8]) -> Result<(Vec<Entry>, &[u8]), &'static str> {
    if bytes.len() < HEADER_BYTES {
        return Err("incomplete header");
    }
    let (length, crc) = decode_header(bytes).ok_or("header checksum mismatch")?;
    // The length was checked above, so the default is never used.
    let body = bytes.get(HEADER_BYTES..).unwrap_or_default();
    let (body, rest) = body.split_at_checked(length).ok_or("incomplete frame")?;
    if crc32fast::hash(body) != crc {
        return Err("frame checksum mismatch");
    }
    let entries = codec::decode_entries(body).ok_or(MALFORMED_ENTRIES)?;
    Ok((entries, rest))
}
