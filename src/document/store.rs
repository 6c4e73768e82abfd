//! The replicated store of documents.
//!
//! Every control VM applies the same changes in the same order, so that the
//! store is the same everywhere. A version is never replaced: a rollback is a
//! new version with an old content. A change is taken only if it was made from
//! the current version, so even a change whose id has been forgotten cannot be
//! taken twice.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::model::Document;
use crate::delegate::messages::DocumentNews;
use crate::ids;

/// Versions kept of each service.
pub const VERSIONS_KEPT: usize = 256;

/// Change ids remembered of each service.
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
    /// Who made it.
    pub author: Arc<str>,
    /// The whole new document.
    pub document: Document,
    /// Wall time of the leader when it took the change in, in milliseconds.
    pub at_ms: u64,
}

/// What a [`Change`] led to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Applied {
    /// The change made a new version.
    Accepted {
        /// That version.
        version: ids::Version,
        /// Its position in the log.
        index: ids::LogIndex,
    },
    /// The change was accepted before, with this result.
    #[serde(rename = "same")]
    Duplicate {
        /// Version that it made.
        version: ids::Version,
        /// Position of that version in the log.
        index: ids::LogIndex,
    },
    /// The change was not made from the current version.
    Conflict {
        /// Current version; 0 if there is none.
        version: ids::Version,
        /// Change that made it.
        change: ids::ChangeId,
        /// Who made it.
        author: Arc<str>,
        /// Current document; `None` if there is none.
        current: Option<Box<Document>>,
    },
    /// The id was used for another change.
    Reused,
}

/// One version of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentVersion {
    /// Version.
    pub version: ids::Version,
    /// Position in the log.
    pub index: ids::LogIndex,
    /// Change that made it.
    pub change: ids::ChangeId,
    /// Who made it.
    pub author: Arc<str>,
    /// Wall time in milliseconds.
    pub at_ms: u64,
    /// Content.
    pub document: Document,
}

/// All documents with their history.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Store {
    services: BTreeMap<ids::ServiceName, Versions>,
}

/// The versions of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Versions {
    /// Latest versions, oldest first.
    history: VecDeque<DocumentVersion>,
    /// Latest change ids, oldest first.
    remembered: VecDeque<Remembered>,
}

/// A change that was answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Remembered {
    change: ids::ChangeId,
    /// Digest of base and document, to tell reuse of an id.
    digest: u64,
    /// Version made; `None` if the change was refused.
    version: Option<ids::Version>,
    /// Position in the log.
    index: ids::LogIndex,
}

impl Store {
    /// Applies the change that stands at `index` of the log.
    pub fn apply(&mut self, index: ids::LogIndex, change: Change) -> Applied {
        let digest = digest(&change);
        let service = Arc::clone(&change.service);
        let versions = self.services.entry(service).or_default();
        match versions.known(&change.change, digest) {
            Some(applied) => applied,
            None if change.base == versions.current() => versions.accept(index, change, digest),
            None => versions.refuse(index, change, digest),
        }
    }

    /// What [`Store::apply`] would answer now; the index of a new version is given as 0.
    pub fn preview(&self, change: &Change) -> Applied {
        let none = Versions::default();
        let versions = self.services.get(&change.service).unwrap_or(&none);
        let current = versions.current();
        match versions.known(&change.change, digest(change)) {
            Some(applied) => applied,
            None if change.base == current => Applied::Accepted {
                version: current + 1,
                index: 0,
            },
            None => versions.conflict(),
        }
    }

    /// Current version of a document.
    pub fn current(&self, service: &str) -> Option<&DocumentVersion> {
        self.services.get(service)?.history.back()
    }

    /// A version of a document, if it is still kept.
    pub fn version(&self, service: &str, version: ids::Version) -> Option<&DocumentVersion> {
        self.history(service).find(|e| e.version == version)
    }

    /// Versions kept of a document, oldest first.
    pub fn history(&self, service: &str) -> impl DoubleEndedIterator<Item = &DocumentVersion> {
        let versions = self.services.get(service);
        versions.into_iter().flat_map(|v| v.history.iter())
    }

    /// Current versions of all documents, by name of the service.
    pub fn all(&self) -> impl Iterator<Item = &DocumentVersion> {
        self.services.values().filter_map(|v| v.history.back())
    }

    /// Current versions that were made after a position of the log.
    pub fn updates_since(&self, index: ids::LogIndex) -> Vec<DocumentNews> {
        let updates = self.all().filter(|e| e.index > index);
        updates.map(DocumentVersion::to_update).collect()
    }
}

impl DocumentVersion {
    /// The version as entry VMs get it.
    pub fn to_update(&self) -> DocumentNews {
        DocumentNews {
            version: self.version,
            change: Arc::clone(&self.change),
            document: self.document.clone(),
        }
    }
}

impl Versions {
    fn current(&self) -> ids::Version {
        self.history.back().map_or(0, |e| e.version)
    }

    /// The first answer to a change; `None` if its id is new.
    fn known(&self, change: &str, digest: u64) -> Option<Applied> {
        let remembered = self
            .remembered
            .iter()
            .rev()
            .find(|r| &*r.change == change)?;
        Some(match remembered.version {
            _ if remembered.digest != digest => Applied::Reused,
            Some(version) => Applied::Duplicate {
                version,
                index: remembered.index,
            },
            None => self.conflict(),
        })
    }

    fn accept(&mut self, index: ids::LogIndex, change: Change, digest: u64) -> Applied {
        let version = self.current() + 1;
        self.remember(Remembered {
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

    /// Remembers the refusal, so that a later version can't turn it into an acceptance.
    fn refuse(&mut self, index: ids::LogIndex, change: Change, digest: u64) -> Applied {
        self.remember(Remembered {
            change: change.change,
            digest,
            version: None,
            index,
        });
        self.conflict()
    }

    fn remember(&mut self, remembered: Remembered) {
        self.remembered.push_back(remembered);
        while self.remembered.len() > CHANGE_IDS_KEPT {
            self.remembered.pop_front();
        }
    }

    fn conflict(&self) -> Applied {
        let current = self.history.back();
        Applied::Conflict {
            version: self.current(),
            change: current.map_or("".into(), |e| Arc::clone(&e.change)),
            author: current.map_or("".into(), |e| Arc::clone(&e.author)),
            current: current.map(|e| Box::new(e.document.clone())),
        }
    }
}

fn digest(change: &Change) -> u64 {
    let content = (change.base, &change.document);
    let text = serde_json::to_vec(&content).unwrap_or_else(|error| {
        // Two changes that can't be written must not pass for the same one.
        log::error!("event=document.unwritten error={:?}", error.to_string());
        format!("{content:?}").into_bytes()
    });
    xxhash_rust::xxh3::xxh3_64(&text)
}
