//! Updates as they are sent: long ones packed, and packed once for many.
//!
//! After a start, a change of many routes or a first deal of keys many entry VMs
//! ask for the same long updates at once. Packing them is dear for a control VM with
//! a small part of a core, and sending them plain is for the narrow link of an
//! entry VM.

use std::cell::RefCell;
use std::fmt;
use std::io::{self, Read, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::{Deserialize, Serialize};

use super::updates::Updates;
use crate::clock;
use crate::ids;

/// How long packed updates are given to entry VMs: many ask at once, and what they miss
/// is the next answer.
const FRESH: Duration = Duration::from_millis(200);

/// Bytes that updates may base when unpacked: far more than any fleet of today.
const UNPACKED_BYTES: u64 = 256 << 20;

/// Updates as they are sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EncodedUpdates {
    /// What changed.
    Plain(Box<Updates>),
    /// Much that changed: JSON, in the zlib format, in base64.
    #[serde(rename = "packed")]
    Compressed(Arc<str>),
}

/// Why packed updates can't be read.
#[derive(Debug)]
pub enum DecodeError {
    /// They are not base64.
    Text(base64::DecodeError),
    /// They can't be inflated.
    Zlib(io::Error),
    /// They are not updates.
    Json(serde_json::Error),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(error) => write!(f, "packed updates: {error}"),
            Self::Zlib(error) => write!(f, "packed updates: {error}"),
            Self::Json(error) => write!(f, "packed updates: {error}"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Packs updates.
///
/// # Errors
///
/// The codec's error.
pub fn compress(updates: &Updates) -> io::Result<Arc<str>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(updates)?)?;
    Ok(STANDARD.encode(encoder.finish()?).into())
}

/// Updates that were told.
///
/// # Errors
///
/// [`DecodeError`] if they can't be read.
pub fn decode(told: EncodedUpdates) -> Result<Updates, DecodeError> {
    let packed = match told {
        EncodedUpdates::Plain(updates) => return Ok(*updates),
        EncodedUpdates::Compressed(packed) => packed,
    };
    let bytes = STANDARD.decode(&*packed).map_err(DecodeError::Text)?;
    let mut json = Vec::new();
    let mut decoder = ZlibDecoder::new(&*bytes).take(UNPACKED_BYTES);
    decoder.read_to_end(&mut json).map_err(DecodeError::Zlib)?;
    serde_json::from_slice(&json).map_err(DecodeError::Json)
}

/// The long updates that were packed last.
#[derive(Debug, Default)]
pub struct Cache(RefCell<Option<CachedUpdates>>);

#[derive(Debug)]
struct CachedUpdates {
    /// Log position that they start from.
    base: ids::LogIndex,
    made: Instant,
    updates: Arc<str>,
}

impl Cache {
    /// Long updates since `base` that were packed a moment ago.
    pub fn find(&self, base: ids::LogIndex) -> Option<EncodedUpdates> {
        let packed = self.0.borrow();
        let fits = |p: &&CachedUpdates| p.base == base && clock::now() < p.made + FRESH;
        let packed = packed.as_ref().filter(fits)?;
        Some(EncodedUpdates::Compressed(Arc::clone(&packed.updates)))
    }

    /// Updates since `base` as they are to be sent.
    pub fn tell(&self, base: ids::LogIndex, updates: Updates) -> EncodedUpdates {
        if !updates.is_long() {
            return EncodedUpdates::Plain(Box::new(updates));
        }
        match compress(&updates) {
            Ok(text) => {
                *self.0.borrow_mut() = Some(CachedUpdates {
                    base,
                    made: clock::now(),
                    updates: Arc::clone(&text),
                });
                EncodedUpdates::Compressed(text)
            }
            Err(error) => {
                // They arrive all the same, only later.
                log::warn!("event=fleet.unpacked error={:?}", error.to_string());
                EncodedUpdates::Plain(Box::new(updates))
            }
        }
    }
}
