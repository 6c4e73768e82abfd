//! Files of JSON lines, one for each executed or refused request, for tests that count them.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

use agateyoke::{ids, keys};
use serde::Serialize;

/// One executed request.
#[derive(Debug, Serialize)]
pub(crate) struct Execution {
    /// Name of the backend server.
    pub(crate) server: ids::ServerName,
    /// Id of the request.
    pub(crate) request: Option<Arc<str>>,
    /// Id of the claim.
    pub(crate) claim: Option<ids::ClaimId>,
    /// Method.
    pub(crate) method: Arc<str>,
    /// Path and query.
    pub(crate) path: Arc<str>,
    /// Hash of the key.
    pub(crate) hash: Option<keys::KeyHash>,
    /// Fence under which it ran.
    pub(crate) fence: Option<ids::Fence>,
    /// Wall time in milliseconds.
    pub(crate) wall_ms: u64,
}

/// One request that was refused before it ran.
#[derive(Debug, Serialize)]
pub(crate) struct Refusal {
    /// Id of the request.
    pub(crate) request: Option<Arc<str>>,
    /// Reason of the refusal.
    pub(crate) reason: &'static str,
}

/// File of executions or refusals.
#[derive(Debug)]
pub(crate) struct RecordFile(Option<File>);

impl RecordFile {
    /// Opens the file for appending; without a path nothing is recorded.
    pub(crate) fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        path.map(open).transpose().map(Self)
    }

    /// Appends an execution or a refusal by one write.
    pub(crate) fn append<T>(&mut self, record: &T) -> io::Result<()>
    where
        T: Serialize,
    {
        let Some(file) = self.0.as_mut() else {
            return Ok(());
        };
        let mut line = serde_json::to_vec(record)?;
        line.push(b'\n');
        file.write_all(&line)
    }
}
