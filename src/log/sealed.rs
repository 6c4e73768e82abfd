//! Small files that are replaced as a whole and carry a checksum.
//!
//! The new content is written beside the old one, synced, and renamed over
//! it; then the folder is synced. A crash leaves the old or the new content.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use super::error::OpenError;

/// First bytes of each sealed file.
const MAGIC: &[u8; 4] = b"agy1";

/// Bytes before the content.
const HEADER_BYTES: usize = 8;

/// Name of the file that a replacement is first written to.
pub(super) fn temporary(file: &Path) -> PathBuf {
    file.with_extension("tmp")
}

/// Replaces `file` by `content`; returns once it is synced.
pub(super) fn write(file: &Path, content: &[u8]) -> io::Result<()> {
    let temporary = temporary(file);
    let mut out = File::create(&temporary)?;
    out.write_all(MAGIC)?;
    out.write_all(&crc32fast::hash(content).to_be_bytes())?;
    out.write_all(content)?;
    out.sync_all()?;
    fs::rename(&temporary, file)?;
    sync_folder(file)
}

/// Syncs the folder that holds `file`.
pub(super) fn sync_folder(file: &Path) -> io::Result<()> {
    match file.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

/// Content of `file`; `None` if there is no such file.
pub(super) fn read(file: &Path) -> Result<Option<Vec<u8>>, OpenError> {
    let mut bytes = match fs::read(file) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(OpenError::io(file, &e)),
    };
    if bytes.len() < HEADER_BYTES {
        return Err(OpenError::corrupt(file, 0, "an incomplete header"));
    }
    let content = bytes.split_off(HEADER_BYTES);
    let (magic, crc) = bytes.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(OpenError::corrupt(file, 0, "an unknown header"));
    }
    if crc != crc32fast::hash(&content).to_be_bytes() {
        let offset = HEADER_BYTES as u64;
        return Err(OpenError::corrupt(
            file,
            offset,
            "a content whose checksum differs",
        ));
    }
    Ok(Some(content))
}
