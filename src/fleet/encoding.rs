//! Wire encoding of updates: large ones are compressed, once for many entry VMs.
//!
//! After a start, a change of many routes or the first assignment of keys, many entry
//! VMs poll for the same large updates at once. Compressing them is expensive for a
//! control VM with a fraction of a core, and sending them uncompressed is expensive for
//! the narrow link of an entry VM.

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

/// How long compressed updates are reused: many entry VMs poll at once, and the next
/// response has the changes that these miss.
const CACHE_TTL: Duration = Duration::from_millis(200);

/// Maximum size of decompressed updates, far above that of any present fleet.
const MAX_DECODED_BYTES: u64 = 256 << 20;

/// Wire form of updates.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EncodedUpdates {
    /// Updates as plain JSON.
    Plain(Box<Updates>),
    /// Large updates: base64 of zlib of JSON.
    #[serde(rename = "packed")]
    Compressed(Arc<str>),
}

/// Why compressed updates can't be decoded.
#[derive(Debug)]
pub enum DecodeError {
    /// Invalid base64.
    Text(base64::DecodeError),
    /// Invalid zlib data.
    Zlib(io::Error),
    /// Invalid JSON, or not the JSON of updates.
    Json(serde_json::Error),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(error) => write!(f, "compressed updates: {error}"),
            Self::Zlib(error) => write!(f, "compressed updates: {error}"),
            Self::Json(error) => write!(f, "compressed updates: {error}"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Compresses updates into a [`EncodedUpdates::Compressed`] text.
///
/// # Errors
///
/// The error of the JSON or zlib encoder.
pub fn compress(updates: &Updates) -> io::Result<Arc<str>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(updates)?)?;
    Ok(STANDARD.encode(encoder.finish()?).into())
}

/// Decodes updates.
///
/// # Errors
///
/// [`DecodeError`] if compressed updates are invalid.
pub fn decode(encoded: EncodedUpdates) -> Result<Updates, DecodeError> {
    let text = match encoded {
        EncodedUpdates::Plain(updates) => return Ok(*updates),
        EncodedUpdates::Compressed(text) => text,
    };
    let bytes = STANDARD.decode(&*text).map_err(DecodeError::Text)?;
    let mut json = Vec::new();
    let mut decoder = ZlibDecoder::new(&*bytes).take(MAX_DECODED_BYTES);
    decoder.read_to_end(&mut json).map_err(DecodeError::Zlib)?;
    serde_json::from_slice(&json).map_err(DecodeError::Json)
}

/// The most recently compressed updates.
#[derive(Debug, Default)]
pub struct Cache(RefCell<Option<CachedUpdates>>);

#[derive(Debug)]
struct CachedUpdates {
    /// Log index that the updates start from.
    base: ids::LogIndex,
    created: Instant,
    text: Arc<str>,
}

impl Cache {
    /// Compressed updates since `base`, if they are recent enough.
    pub fn get(&self, base: ids::LogIndex) -> Option<EncodedUpdates> {
        let cached = self.0.borrow();
        let fits = |c: &&CachedUpdates| c.base == base && clock::now() < c.created + CACHE_TTL;
        let cached = cached.as_ref().filter(fits)?;
        Some(EncodedUpdates::Compressed(Arc::clone(&cached.text)))
    }

    /// Encodes updates since `base`; compresses and caches them if they are large.
    pub fn encode(&self, base: ids::LogIndex, updates: Updates) -> EncodedUpdates {
        if !updates.is_large() {
            return EncodedUpdates::Plain(Box::new(updates));
        }
        match compress(&updates) {
            Ok(text) => {
                *self.0.borrow_mut() = Some(CachedUpdates {
                    base,
                    created: clock::now(),
                    text: Arc::clone(&text),
                });
                EncodedUpdates::Compressed(text)
            }
            Err(error) => {
                // Plain updates arrive as well, only later.
                log::warn!("event=fleet.unpacked error={:?}", error.to_string());
                EncodedUpdates::Plain(Box::new(updates))
            }
        }
    }
}
