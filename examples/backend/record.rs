//! One JSON line for each request that ran, so that tests can count them.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

use agateyoke::{ids, keys};
use serde::Serialize;

/// One request that ran.
#[derive(Debug, Serialize)]
pub(crate) struct Run {
    /// Backend server.
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

/// One request that was refused before work.
#[derive(Debug, Serialize)]
pub(crate) struct Refusal {
    /// Id of the request.
    pub(crate) request: Option<Arc<str>>,
    /// Why.
    pub(crate) reason: &'static str,
}

/// A file of runs or refusals.
#[derive(Debug)]
pub(crate) struct Record(Option<File>);

impl Record {
    /// Opens the file at its end; without a path nothing is recorded.
    pub(crate) fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        path.map(open).transpose().map(Self)
    }

    /// Appends a run or a refusal by one write.
    pub(crate) fn append<T>(&mut self, event: &T) -> io::Result<()>
    where
        T: Serialize,
    {
        let Some(file) = self.0.as_mut() else {
            return Ok(());
        };
        let mut line = serde_json::to_vec(event)?;
        line.push(b'\n');
        file.write_all(&line)
    }
}
