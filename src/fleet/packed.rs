//! News as they are sent: long ones packed, and packed once for many.
//!
//! After a start, a change of many routes or a first deal of keys many entry VMs
//! ask for the same long news at once. Packing them is dear for a control VM with
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

use super::news::News;
use crate::clock;
use crate::ids;

/// How long packed news are given to entry VMs: many ask at once, and what they miss
/// is the next answer.
const FRESH: Duration = Duration::from_millis(200);

/// Bytes that news may have when unpacked: far more than any fleet of today.
const UNPACKED_BYTES: u64 = 256 << 20;

/// News as they are sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// What changed.
    Plain(Box<News>),
    /// Much that changed: JSON, in the zlib format, in base64.
    Packed(Arc<str>),
}

/// Why packed news can't be read.
#[derive(Debug)]
pub enum UnpackError {
    /// They are not base64.
    Text(base64::DecodeError),
    /// They can't be inflated.
    Zlib(io::Error),
    /// They are not news.
    Json(serde_json::Error),
}

impl fmt::Display for UnpackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(error) => write!(f, "packed news: {error}"),
            Self::Zlib(error) => write!(f, "packed news: {error}"),
            Self::Json(error) => write!(f, "packed news: {error}"),
        }
    }
}

impl std::error::Error for UnpackError {}

/// Packs news.
///
/// # Errors
///
/// The codec's error.
pub fn pack(news: &News) -> io::Result<Arc<str>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(news)?)?;
    Ok(STANDARD.encode(encoder.finish()?).into())
}

/// News that were told.
///
/// # Errors
///
/// [`UnpackError`] if they can't be read.
pub fn unpack(told: Told) -> Result<News, UnpackError> {
    let packed = match told {
        Told::Plain(news) => return Ok(*news),
        Told::Packed(packed) => packed,
    };
    let bytes = STANDARD.decode(&*packed).map_err(UnpackError::Text)?;
    let mut json = Vec::new();
    let mut decoder = ZlibDecoder::new(&*bytes).take(UNPACKED_BYTES);
    decoder.read_to_end(&mut json).map_err(UnpackError::Zlib)?;
    serde_json::from_slice(&json).map_err(UnpackError::Json)
}

/// The long news that were packed last.
#[derive(Debug, Default)]
pub struct Cache(RefCell<Option<Packed>>);

#[derive(Debug)]
struct Packed {
    /// Log position that they start from.
    have: ids::LogIndex,
    made: Instant,
    news: Arc<str>,
}

impl Cache {
    /// Long news since `have` that were packed a moment ago.
    pub fn find(&self, have: ids::LogIndex) -> Option<Told> {
        let packed = self.0.borrow();
        let fits = |p: &&Packed| p.have == have && clock::now() < p.made + FRESH;
        let packed = packed.as_ref().filter(fits)?;
        Some(Told::Packed(Arc::clone(&packed.news)))
    }

    /// News since `have` as they are to be sent.
    pub fn tell(&self, have: ids::LogIndex, news: News) -> Told {
        if !news.is_long() {
            return Told::Plain(Box::new(news));
        }
        match pack(&news) {
            Ok(text) => {
                *self.0.borrow_mut() = Some(Packed {
                    have,
                    made: clock::now(),
                    news: Arc::clone(&text),
                });
                Told::Packed(text)
            }
            Err(error) => {
                // They arrive all the same, only later.
                log::warn!("event=fleet.unpacked error={:?}", error.to_string());
                Told::Plain(Box::new(news))
            }
        }
    }
}
