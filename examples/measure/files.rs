//! Lines that backend servers and callers wrote.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;
use serde::de::DeserializeOwned;

/// One request that ran on a backend server.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Run {
    pub(crate) server: Arc<str>,
    pub(crate) request: Option<Arc<str>>,
    pub(crate) claim: Option<Arc<str>>,
    pub(crate) path: Arc<str>,
    pub(crate) hash: Option<u64>,
    pub(crate) wall_ms: u64,
}

/// One request that a backend server refused before work.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Refusal {
    /// Why.
    #[expect(dead_code, reason = "names the line; only their number counts")]
    pub(crate) reason: Arc<str>,
}

/// One request that a caller sent.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Trace {
    pub(crate) sent_ms: u64,
    pub(crate) done_ms: u64,
    pub(crate) took_us: u64,
    pub(crate) key: Arc<str>,
    pub(crate) claim: Option<Arc<str>>,
    pub(crate) request: Option<Arc<str>>,
    pub(crate) status: u16,
    pub(crate) verdict: Arc<str>,
}

/// All lines of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Files {
    /// By wall time.
    pub(crate) runs: Vec<Run>,
    pub(crate) refusals: Vec<Refusal>,
    /// By the time of sending.
    pub(crate) traces: Vec<Trace>,
}

impl Files {
    /// Reads every record in a folder.
    pub(crate) fn read(folder: &Path) -> io::Result<Self> {
        let mut files = Self::default();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            match path.extension().and_then(|e| e.to_str()) {
                Some("ran") => files.runs.append(&mut lines(&path)?),
                Some("refused") => files.refusals.append(&mut lines(&path)?),
                Some("trace") => files.traces.append(&mut lines(&path)?),
                _ => {}
            }
        }
        files.runs.sort_by_key(|r| r.wall_ms);
        files.traces.sort_by_key(|t| t.sent_ms);
        Ok(files)
    }
}

/// The lines of a file; the last one may be cut off by the end of its process.
fn lines<T>(path: &Path) -> io::Result<Vec<T>>
where
    T: DeserializeOwned,
{
    let text = fs::read_to_string(path)?;
    let whole = text.rfind('\n').and_then(|end| text.get(..end));
    let parse = |line| serde_json::from_str(line).map_err(io::Error::other);
    whole.unwrap_or_default().lines().map(parse).collect()
}
