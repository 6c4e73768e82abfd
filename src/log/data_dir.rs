//! The data directory: its files, and how they are read at a start.
//!
//! `identity` holds the replica id, `vote` the term and vote, `snapshot` the
//! newest snapshot and `NNNN.log` the entries after it. A directory without any
//! of these files is initialized. If only some of them are missing, opening
//! fails, because the replica may have lost a vote or entries that other
//! replicas rely on.
//!
//! What a process wrote before it ended may be in the page cache only, so
//! everything that was read is synced before it counts.

use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::atomic_file;
use super::codec;
use super::error::OpenError;
use super::model::{Entry, Membership, ReplicaId, Snapshot, Vote};
use super::segment;
use crate::ids;

/// Size of a replica id before its hexadecimal encoding.
const REPLICA_ID_BYTES: usize = 16;

/// Width of a segment number in file names, in decimal digits.
const SEGMENT_NUMBER_DIGITS: usize = 10;

/// Content of the file `identity`.
#[derive(Debug, Serialize, Deserialize)]
struct Identity {
    #[serde(rename = "disk")]
    replica: ReplicaId,
}

/// Header of the file `snapshot`; the encoded state follows it.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotHeader {
    index: ids::LogIndex,
    term: ids::LogTerm,
    #[serde(rename = "members")]
    membership: Membership,
    /// First segment that is still in use; earlier ones are obsolete.
    #[serde(rename = "segment")]
    first_segment: u64,
}

/// A segment file.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    /// Number in the file name.
    pub(super) number: u64,
    /// Highest index of an entry in the segment; 0 without entries.
    pub(super) highest_index: ids::LogIndex,
}

/// A torn write that was truncated.
#[derive(Clone, Debug)]
pub(super) struct TornTail {
    /// Path of the segment.
    pub(super) file: PathBuf,
    /// Length of the segment after truncation, in bytes.
    pub(super) offset: u64,
    /// What was wrong with the truncated frame.
    pub(super) problem: &'static str,
}

/// Content of an opened data directory.
#[derive(Debug)]
pub(super) struct Contents {
    /// Id of the replica.
    pub(super) replica: ReplicaId,
    /// Last synced term and vote.
    pub(super) vote: Vote,
    /// Newest snapshot.
    pub(super) snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub(super) entries: Vec<Entry>,
    /// Segments in use, oldest first.
    pub(super) segments: Vec<Segment>,
    /// Number for the next new segment.
    pub(super) next_segment: u64,
    /// Torn write that was truncated, if any.
    pub(super) torn_tail: Option<TornTail>,
    /// Locked file; closing it unlocks the directory.
    pub(super) lock: File,
}

/// Path of the segment with a number.
pub(super) fn segment_path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{number:0SEGMENT_NUMBER_DIGITS$}.log"))
}

/// Path of the snapshot file.
pub(super) fn snapshot_path(dir: &Path) -> PathBuf {
    dir.join("snapshot")
}

/// Path of the file with the replica id.
fn identity_path(dir: &Path) -> PathBuf {
    dir.join("identity")
}

/// Path of the vote file.
pub(super) fn vote_path(dir: &Path) -> PathBuf {
    dir.join("vote")
}

/// Locks and reads a data directory; creates and initializes it if it is new.
pub(super) fn open(dir: &Path) -> Result<Contents, OpenError> {
    fs::create_dir_all(dir).map_err(|e| OpenError::io(dir, &e))?;
    let lock = lock_dir(dir)?;
    let numbers = segment_numbers(dir)?;
    let (snapshot, first_segment) = read_snapshot(dir)?;
    let is_new = numbers.is_empty() && snapshot.is_none();
    let (replica, vote) = read_identity(dir, is_new)?;
    let mut contents = Contents {
        replica,
        vote,
        snapshot,
        entries: Vec::new(),
        segments: Vec::new(),
        next_segment: first_segment.max(1),
        torn_tail: None,
        lock,
    };
    for number in numbers.iter().filter(|n| **n >= first_segment) {
        let is_last = numbers.last() == Some(number);
        read_segment(dir, *number, is_last, &mut contents)?;
    }
    drop_covered(&mut contents);
    sync_read(dir, &contents)?;
    // Only once the snapshot that replaces them is synced.
    remove_obsolete(dir, &numbers, first_segment)?;
    Ok(contents)
}

/// Syncs the files that were read, then the directory and its own entry.
fn sync_read(dir: &Path, contents: &Contents) -> Result<(), OpenError> {
    let segments = contents.segments.iter();
    let segments = segments.map(|s| segment_path(dir, s.number));
    let snapshot = contents.snapshot.is_some().then(|| snapshot_path(dir));
    let files = [identity_path(dir), vote_path(dir)].into_iter();
    for file in files.chain(snapshot).chain(segments) {
        atomic_file::sync(&file).map_err(|e| OpenError::io(&file, &e))?;
    }
    let synced = atomic_file::sync(dir).and_then(|()| atomic_file::sync_parent(dir));
    synced.map_err(|e| OpenError::io(dir, &e))
}

/// Stores a snapshot; segments before `first_segment` are obsolete from then on.
pub(super) fn write_snapshot(
    dir: &Path,
    snapshot: &Snapshot,
    first_segment: u64,
) -> io::Result<()> {
    let header = SnapshotHeader {
        index: snapshot.index,
        term: snapshot.term,
        membership: snapshot.membership.clone(),
        first_segment,
    };
    let header = serde_json::to_vec(&header)?;
    let length = u32::try_from(header.len()).map_err(io::Error::other)?;
    let mut content = length.to_be_bytes().to_vec();
    content.extend_from_slice(&header);
    content.extend_from_slice(&snapshot.data);
    atomic_file::write(&snapshot_path(dir), &content)
}

/// Stores a term and vote.
pub(super) fn write_vote(dir: &Path, vote: &Vote) -> io::Result<()> {
    atomic_file::write(&vote_path(dir), &serde_json::to_vec(vote)?)
}

fn lock_dir(dir: &Path) -> Result<File, OpenError> {
    let path = dir.join("lock");
    let file = File::create(&path).map_err(|e| OpenError::io(&path, &e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => Err(OpenError::locked(&path)),
        Err(fs::TryLockError::Error(e)) => Err(OpenError::io(&path, &e)),
    }
}

/// Numbers of all segments, ascending.
fn segment_numbers(dir: &Path) -> Result<Vec<u64>, OpenError> {
    let io_error = |e: io::Error| OpenError::io(dir, &e);
    let mut numbers = Vec::new();
    for item in fs::read_dir(dir).map_err(io_error)? {
        let name = item.map_err(io_error)?.file_name();
        let stem = name.to_str().and_then(|n| n.strip_suffix(".log"));
        numbers.extend(stem.and_then(|s| s.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn read_identity(dir: &Path, is_new: bool) -> Result<(ReplicaId, Vote), OpenError> {
    let path = identity_path(dir);
    let vote_path = vote_path(dir);
    let identity: Option<Identity> = read_json(&path)?;
    let vote: Option<Vote> = read_json(&vote_path)?;
    match (identity, vote) {
        (Some(identity), Some(vote)) => Ok((identity.replica, vote)),
        (None, Some(_)) => Err(OpenError::corrupt(&path, 0, "file is missing")),
        (None, None) if !is_new => Err(OpenError::corrupt(&path, 0, "file is missing")),
        (Some(_), None) if !is_new => Err(OpenError::corrupt(&vote_path, 0, "file is missing")),
        (_, None) => create_identity(dir, &path),
    }
}

/// Generates a replica id and stores it, then an empty vote.
///
/// The vote is written last: a replica without a vote file has not taken part in any election.
fn create_identity(dir: &Path, path: &Path) -> Result<(ReplicaId, Vote), OpenError> {
    let io_error = |e: io::Error| OpenError::io(path, &e);
    let mut bytes = [0; REPLICA_ID_BYTES];
    let mut random = File::open("/dev/urandom").map_err(io_error)?;
    random.read_exact(&mut bytes).map_err(io_error)?;
    let replica: ReplicaId = codec::hex(&bytes).into();
    let identity = Identity {
        replica: Arc::clone(&replica),
    };
    let json = serde_json::to_vec(&identity).map_err(|e| io_error(e.into()))?;
    atomic_file::write(path, &json).map_err(io_error)?;
    write_vote(dir, &Vote::default()).map_err(io_error)?;
    atomic_file::sync_parent(dir).map_err(io_error)?;
    Ok((replica, Vote::default()))
}

fn read_json<T>(path: &Path) -> Result<Option<T>, OpenError>
where
    T: for<'de> Deserialize<'de>,
{
    let Some(content) = atomic_file::read(path)? else {
        return Ok(None);
    };
    serde_json::from_slice(&content)
        .map(Some)
        .map_err(|_| OpenError::corrupt(path, 0, "malformed content"))
}

/// Reads the snapshot and the number of the first segment in use, 0 without a snapshot.
fn read_snapshot(dir: &Path) -> Result<(Option<Snapshot>, u64), OpenError> {
    let path = snapshot_path(dir);
    let Some(content) = atomic_file::read(&path)? else {
        return Ok((None, 0));
    };
    let (header, data) =
        split_snapshot(&content).ok_or_else(|| OpenError::corrupt(&path, 0, "malformed header"))?;
    let snapshot = Snapshot {
        index: header.index,
        term: header.term,
        membership: header.membership,
        data,
    };
    Ok((Some(snapshot), header.first_segment))
}

fn split_snapshot(content: &[u8]) -> Option<(SnapshotHeader, Vec<u8>)> {
    let (length, rest) = content.split_first_chunk::<4>()?;
    let (header, data) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
    Some((serde_json::from_slice(header).ok()?, data.to_vec()))
}

/// Removes obsolete segments that a crash left behind after a snapshot was stored.
fn remove_obsolete(dir: &Path, numbers: &[u64], first_segment: u64) -> Result<(), OpenError> {
    for number in numbers.iter().filter(|n| **n < first_segment) {
        let path = segment_path(dir, *number);
        fs::remove_file(&path).map_err(|e| OpenError::io(&path, &e))?;
    }
    Ok(())
}

fn read_segment(
    dir: &Path,
    number: u64,
    is_last: bool,
    contents: &mut Contents,
) -> Result<(), OpenError> {
    let path = segment_path(dir, number);
    if number != contents.next_segment {
        let path = segment_path(dir, contents.next_segment);
        return Err(OpenError::corrupt(&path, 0, "file is missing"));
    }
    let bytes = fs::read(&path).map_err(|e| OpenError::io(&path, &e))?;
    let scan = segment::scan(&bytes);
    if let Some(corruption) = scan.corruption {
        let offset = corruption.offset as u64;
        if !(is_last && corruption.at_tail) {
            return Err(OpenError::corrupt(&path, offset, corruption.problem));
        }
        truncate_file(&path, offset).map_err(|e| OpenError::io(&path, &e))?;
        contents.torn_tail = Some(TornTail {
            file: path.clone(),
            offset,
            problem: corruption.problem,
        });
    }
    let highest_index = scan.entries.iter().map(|e| e.index).max();
    for entry in scan.entries {
        push_entry(contents, entry).map_err(|problem| OpenError::corrupt(&path, 0, problem))?;
    }
    contents.next_segment = number.saturating_add(1);
    contents.segments.push(Segment {
        number,
        highest_index: highest_index.unwrap_or(0),
    });
    Ok(())
}

fn truncate_file(path: &Path, length: u64) -> io::Result<()> {
    let file = File::options().write(true).open(path)?;
    file.set_len(length)?;
    file.sync_all()
}

/// Appends an entry; it replaces an entry with the same index and all later ones.
fn push_entry(contents: &mut Contents, entry: Entry) -> Result<(), &'static str> {
    let covered = contents.snapshot.as_ref().map_or(0, |s| s.index);
    let entries = &mut contents.entries;
    while entries.last().is_some_and(|e| e.index >= entry.index) {
        entries.pop();
    }
    let last_index = entries.last().map_or(covered, |e| e.index);
    if entry.index > last_index.saturating_add(1) {
        return Err("gap between entries");
    }
    entries.push(entry);
    Ok(())
}

/// Drops entries that the snapshot covers.
fn drop_covered(contents: &mut Contents) {
    let covered = contents.snapshot.as_ref().map_or(0, |s| s.index);
    contents.entries.retain(|e| e.index > covered);
}
