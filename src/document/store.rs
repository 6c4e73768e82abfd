//! The replicated store of documents.
//!
//! Every control VM applies the same changes in the same order, so that the
//! store is the same everywhere. A version is never replaced: a rollback is a
//! new version with old content. A change is accepted only if it was made from
//! the current version, so even a change whose id is no longer kept cannot be
//! accepted twice.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::model::Document;
use crate::delegate::messages::DocumentUpdate;
use crate::ids;

/// Number of versions kept of each document.
pub const VERSIONS_KEPT: usize = 256;

/// Number of change ids kept of each document.
pub const CHANGE_IDS_KEPT: usize = 4096;

/// A change of the document of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Service.
    pub service: ids::ServiceName,
    /// Version that the change was made from; 0 if the service is new.
    pub base: ids::Version,
    /// Id of the change.
    pub change: ids::ChangeId,
    /// Author of the change.
    pub author: Arc<str>,
    /// The whole new document.
    pub document: Document,
    /// Wall time of the leader on receipt of the change, in milliseconds.
    pub at_ms: u64,
}

/// Result of a [`Change`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Applied {
    /// The change made a new version.
    Accepted {
        /// New version.
        version: ids::Version,
        /// Log index of the version.
        index: ids::LogIndex,
    },
    /// The change was accepted before, with this result.
    #[serde(rename = "same")]
    Duplicate {
        /// Version that the change made.
        version: ids::Version,
        /// Log index of the version.
        index: ids::LogIndex,
    },
    /// The change was not made from the current version.
    Conflict {
        /// Current version; 0 if there is none.
        version: ids::Version,
        /// Change that made the current version.
        change: ids::ChangeId,
        /// Author of the change.
        author: Arc<str>,
        /// Current document; `None` if there is none.
        current: Option<Box<Document>>,
    },
    /// The change id was used for another change.
    Reused,
}

/// One version of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentVersion {
    /// Version.
    pub version: ids::Version,
    /// Log index of the version.
    pub index: ids::LogIndex,
    /// Change that made the version.
    pub change: ids::ChangeId,
    /// Author of the change.
    pub author: Arc<str>,
    /// Wall time of the change in milliseconds.
    pub at_ms: u64,
    /// Content of the version.
    pub document: Document,
}

/// All documents with their history.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    services: BTreeMap<ids::ServiceName, ServiceHistory>,
}

/// Versions and change ids of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct ServiceHistory {
    /// Latest versions, oldest first.
    history: VecDeque<DocumentVersion>,
    /// Latest changes, oldest first.
    #[serde(rename = "remembered")]
    changes: VecDeque<ChangeRecord>,
}

/// Id and result of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ChangeRecord {
    change: ids::ChangeId,
    /// Digest of base and document, to detect reuse of the id.
    digest: u64,
    /// Version that the change made; `None` if it was refused.
    version: Option<ids::Version>,
    /// Log index of the change.
    index: ids::LogIndex,
}

impl Store {
    /// Applies the change at log index `index`.
    pub fn apply(&mut self, index: ids::LogIndex, change: Change) -> Applied {
        let digest = digest(&change);
        let service = Arc::clone(&change.service);
        let history = self.services.entry(service).or_default();
        match history.earlier_result(&change.change, digest) {
            Some(applied) => applied,
            None if change.base == history.current_version() => {
                history.accept(index, change, digest)
            }
            None => history.refuse(index, change, digest),
        }
    }

    /// What [`Store::apply`] would return now, with 0 as the index of a new version.
    pub fn preview(&self, change: &Change) -> Applied {
        let none = ServiceHistory::default();
        let history = self.services.get(&change.service).unwrap_or(&none);
        let current = history.current_version();
        match history.earlier_result(&change.change, digest(change)) {
            Some(applied) => applied,
            None if change.base == current => Applied::Accepted {
                version: current + 1,
                index: 0,
            },
            None => history.conflict(),
        }
    }

    /// Current version of a document.
    pub fn current(&self, service: &str) -> Option<&DocumentVersion> {
        self.services.get(service)?.history.back()
    }

    /// A version of a document; `None` if it is not kept.
    pub fn version(&self, service: &str, version: ids::Version) -> Option<&DocumentVersion> {
        self.history(service).find(|e| e.version == version)
    }

    /// Kept versions of a document, oldest first.
    pub fn history(&self, service: &str) -> impl DoubleEndedIterator<Item = &DocumentVersion> {
        let versions = self.services.get(service);
        versions.into_iter().flat_map(|v| v.history.iter())
    }

    /// Current versions of all documents, by name of the service.
    pub fn all(&self) -> impl Iterator<Item = &DocumentVersion> {
        self.services.values().filter_map(|v| v.history.back())
    }

    /// Current versions made after a log index.
    pub fn updates_since(&self, index: ids::LogIndex) -> Vec<DocumentUpdate> {
        let updates = self.all().filter(|e| e.index > index);
        updates.map(DocumentVersion::to_update).collect()
    }
}

impl DocumentVersion {
    /// The version as sent to entry VMs.
    pub fn to_update(&self) -> DocumentUpdate {
        DocumentUpdate {
            version: self.version,
            change: Arc::clone(&self.change),
            document: self.document.clone(),
        }
    }
}

impl ServiceHistory {
    fn current_version(&self) -> ids::Version {
        self.history.back().map_or(0, |e| e.version)
    }

    /// The result of an earlier change with the same id; `None` if the id is new.
    fn earlier_result(&self, change: &str, digest: u64) -> Option<Applied> {
        let record = self.changes.iter().rev().find(|r| &*r.change == change)?;
        Some(match record.version {
            _ if record.digest != digest => Applied::Reused,
            Some(version) => Applied::Duplicate {
                version,
                index: record.index,
            },
            None => self.conflict(),
        })
    }

    fn accept(&mut self, index: ids::LogIndex, change: Change, digest: u64) -> Applied {
        let version = self.current_version() + 1;
        self.record_change(ChangeRecord {
            change: Arc::clone(&change.change),
            digest,
            version: Some(version),
            index,
        });
        self.history.push_back(DocumentVersion {
            version,
            index,
            change: change.change,
            author: change.author,
            at_ms: change.at_ms,
            document: change.document,
        });
        while self.history.len() > VERSIONS_KEPT {
            self.history.pop_front();
        }
        Applied::Accepted { version, index }
    }

    /// Records the refusal, so that a retry is refused even after later versions.
    fn refuse(&mut self, index: ids::LogIndex, change: Change, digest: u64) -> Applied {
        self.record_change(ChangeRecord {
            change: change.change,
            digest,
            version: None,
            index,
        });
        self.conflict()
    }

    fn record_change(&mut self, record: ChangeRecord) {
        self.changes.push_back(record);
        while self.changes.len() > CHANGE_IDS_KEPT {
            self.changes.pop_front();
        }
    }

    fn conflict(&self) -> Applied {
        let current = self.history.back();
        Applied::Conflict {
            version: self.current_version(),
            change: current.map_or("".into(), |e| Arc::clone(&e.change)),
            author: current.map_or("".into(), |e| Arc::clone(&e.author)),
            current: current.map(|e| Box::new(e.document.clone())),
        }
    }
}

fn digest(change: &Change) -> u64 {
    let content = (change.base, &change.document);
    let text = serde_json::to_vec(&content).unwrap_or_else(|error| {
        // Changes that cannot be encoded must not get the same digest.
        log::error!("event=document.unwritten error={:?}", error.to_string());
        format!("{content:?}").into_bytes()
    });
    xxhash_rust::xxh3::xxh3_64(&text)
}
