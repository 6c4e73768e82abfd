//! Small files with a checksum that are replaced atomically.
//!
//! New content is written to a temporary file, synced and renamed over the old
//! file; then the directory is synced. A crash leaves the old or the new
//! content.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use super::error::OpenError;

/// First bytes of each file.
const MAGIC: &[u8; 4] = b"agy1";

/// Size of the magic number and the checksum before the content.
const HEADER_BYTES: usize = 8;

/// Path of the file that new content is first written to.
pub(super) fn temp_path(file: &Path) -> PathBuf {
    file.with_extension("tmp")
}

/// Replaces the content of `file`; returns once it is synced.
pub(super) fn write(file: &Path, content: &[u8]) -> io::Result<()> {
    let temp = temp_path(file);
    let mut temp_file = File::create(&temp)?;
    temp_file.write_all(MAGIC)?;
    temp_file.write_all(&crc32fast::hash(content).to_be_bytes())?;
    temp_file.write_all(content)?;
    temp_file.sync_all()?;
    fs::rename(&temp, file)?;
    sync_parent(file)
}

/// Syncs a file or directory.
pub(super) fn sync(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()?;
    #[cfg(test)]
    SYNCED.with_borrow_mut(|synced| synced.push(path.to_path_buf()));
    Ok(())
}

#[cfg(test)]
thread_local! {
    /// Paths that this thread synced, in order.
    pub(super) static SYNCED: std::cell::RefCell<Vec<PathBuf>> = const {
        std::cell::RefCell::new(Vec::new())
    };
}

/// Syncs the directory that contains `file`.
pub(super) fn sync_parent(file: &Path) -> io::Result<()> {
    match file.parent() {
        Some(dir) if dir.as_os_str().is_empty() => sync(Path::new(".")),
        Some(dir) => sync(dir),
        None => Ok(()),
    }
}

/// Reads the content of `file`; `None` if the file does not exist.
pub(super) fn read(file: &Path) -> Result<Option<Vec<u8>>, OpenError> {
    let mut bytes = match fs::read(file) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(OpenError::io(file, &e)),
    };
    if bytes.len() < HEADER_BYTES {
        return Err(OpenError::corrupt(file, 0, "incomplete header"));
    }
    let content = bytes.split_off(HEADER_BYTES);
    let (magic, crc) = bytes.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(OpenError::corrupt(file, 0, "unknown header"));
    }
    if crc != crc32fast::hash(&content).to_be_bytes() {
        let offset = HEADER_BYTES as u64;
        return Err(OpenError::corrupt(file, offset, "checksum mismatch"));
    }
    Ok(Some(content))
}
