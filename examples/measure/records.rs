//! Records of one run, written by backend servers and callers as JSON lines.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;
use serde::de::DeserializeOwned;

/// One request executed by a backend server.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Execution {
    pub(crate) server: Arc<str>,
    pub(crate) request: Option<Arc<str>>,
    pub(crate) claim: Option<Arc<str>>,
    pub(crate) path: Arc<str>,
    pub(crate) hash: Option<u64>,
    pub(crate) wall_ms: u64,
}

/// One request that a backend server refused before it ran.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Refusal {
    /// Reason of the refusal.
    #[expect(
        dead_code,
        reason = "identifies a line as a refusal; only the count is used"
    )]
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

/// All records of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    /// Sorted by wall time.
    pub(crate) executions: Vec<Execution>,
    pub(crate) refusals: Vec<Refusal>,
    /// Sorted by the time of sending.
    pub(crate) traces: Vec<Trace>,
}

impl Records {
    /// Reads every record file in a directory.
    pub(crate) fn read(directory: &Path) -> io::Result<Self> {
        let mut records = Self::default();
        for entry in fs::read_dir(directory)? {
            let path = entry?.path();
            match path.extension().and_then(|e| e.to_str()) {
                Some("ran") => records.executions.append(&mut read_lines(&path)?),
                Some("refused") => records.refusals.append(&mut read_lines(&path)?),
                Some("trace") => records.traces.append(&mut read_lines(&path)?),
                _ => {}
            }
        }
        records.executions.sort_by_key(|r| r.wall_ms);
        records.traces.sort_by_key(|t| t.sent_ms);
        Ok(records)
    }
}

/// Reads the lines of a file; ignores an incomplete last line, left by a killed process.
fn read_lines<T>(path: &Path) -> io::Result<Vec<T>>
where
    T: DeserializeOwned,
{
    let text = fs::read_to_string(path)?;
    let complete = text.rfind('\n').and_then(|end| text.get(..end));
    let parse = |line| serde_json::from_str(line).map_err(io::Error::other);
    complete.unwrap_or_default().lines().map(parse).collect()
}
