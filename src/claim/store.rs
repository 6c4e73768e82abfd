//! Store of the claim records, part of the replicated state.

use std::collections::BTreeSet;
use std::sync::Arc;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use super::messages::{Applied, Change, ClaimKey, Lookup, Outcome};
use crate::keys;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    hash: keys::KeyHash,
    digest: u64,
    attempt: Arc<str>,
    #[serde(rename = "forget_ms")]
    expires_ms: u64,
    outcome: Option<Outcome>,
}

/// The records at one point of the log; they are shared, not copied.
#[derive(Clone, Debug, Serialize)]
#[serde(into = "Vec<(ClaimKey, Record)>")]
pub struct Snapshot {
    records: OrdMap<ClaimKey, Record>,
}

impl From<Snapshot> for Vec<(ClaimKey, Record)> {
    fn from(snapshot: Snapshot) -> Self {
        snapshot.records.into_iter().collect()
    }
}

/// All claim records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<(ClaimKey, Record)>", into = "Vec<(ClaimKey, Record)>")]
pub struct Store {
    records: OrdMap<ClaimKey, Record>,
    /// Expiry of each record in milliseconds of wall time, with its key.
    by_time: BTreeSet<(u64, ClaimKey)>,
}

impl From<Vec<(ClaimKey, Record)>> for Store {
    fn from(records: Vec<(ClaimKey, Record)>) -> Self {
        let by_time = records
            .iter()
            .map(|(key, record)| (record.expires_ms, key.clone()))
            .collect();
        Self {
            records: records.into_iter().collect(),
            by_time,
        }
    }
}

impl From<Store> for Vec<(ClaimKey, Record)> {
    fn from(store: Store) -> Self {
        store.records.into_iter().collect()
    }
}

impl Store {
    /// Applies a change, with the same result on every replica.
    pub fn apply(&mut self, change: Change) -> Applied {
        match change {
            Change::Begin {
                key,
                hash,
                digest,
                attempt,
                expires_ms,
            } => self.begin(
                key,
                Record {
                    hash,
                    digest,
                    attempt,
                    expires_ms,
                    outcome: None,
                },
            ),
            Change::End {
                key,
                attempt,
                outcome,
            } => self.end(&key, &attempt, outcome),
            Change::Abort { key, attempt } => self.abort(&key, &attempt),
            Change::Expire { now_ms } => self.expire(now_ms),
        }
    }

    /// The current records.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            records: self.records.clone(),
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a record has expired at `now_ms`.
    pub fn has_expired(&self, now_ms: u64) -> bool {
        self.by_time.first().is_some_and(|(at, _)| *at <= now_ms)
    }

    /// Looks up the record of a claim.
    pub fn lookup(&self, lookup: &Lookup) -> Applied {
        match self.records.get(&lookup.key) {
            None => Applied::Absent,
            Some(record) if record.digest != lookup.digest => Applied::Reused,
            Some(record) => match &record.outcome {
                Some(outcome) => Applied::Ended {
                    outcome: outcome.clone(),
                },
                None => Applied::Pending {
                    attempt: Arc::clone(&record.attempt),
                },
            },
        }
    }

    fn begin(&mut self, key: ClaimKey, record: Record) -> Applied {
        let digest = record.digest;
        let lookup = Lookup { key, digest };
        match self.lookup(&lookup) {
            Applied::Pending { attempt } if attempt == record.attempt => Applied::Begun,
            Applied::Absent => {
                let key = lookup.key;
                self.by_time.insert((record.expires_ms, key.clone()));
                self.records.insert(key, record);
                Applied::Begun
            }
            known => known,
        }
    }

    fn end(&mut self, key: &ClaimKey, attempt: &str, outcome: Outcome) -> Applied {
        match self.records.get_mut(key) {
            Some(record) if *record.attempt == *attempt => {
                record.outcome.get_or_insert(outcome);
                Applied::Done
            }
            _ => Applied::Absent,
        }
    }

    fn abort(&mut self, key: &ClaimKey, attempt: &str) -> Applied {
        match self.records.get(key) {
            Some(record) if *record.attempt == *attempt && record.outcome.is_none() => {
                self.by_time.remove(&(record.expires_ms, key.clone()));
                self.records.remove(key);
                Applied::Done
            }
            _ => Applied::Absent,
        }
    }

    fn expire(&mut self, now_ms: u64) -> Applied {
        while let Some((at, key)) = self.by_time.first().cloned() {
            if at > now_ms {
                break;
            }
            self.by_time.pop_first();
            self.records.remove(&key);
        }
        Applied::Done
    }
}
