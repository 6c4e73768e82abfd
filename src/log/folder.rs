//! The data folder: which files it holds, and how it is read at a start.
//!
//! `identity` holds the disk's name, `vote` its vote, `snapshot` the newest
//! snapshot and `NNNN.log` the entries after it. A folder is new only if it
//! holds none of them; a folder that lost one of them is refused, since what
//! it forgot could be a promise to other members.

use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::codec;
use super::error::OpenError;
use super::model::{DiskId, Entry, Membership, Snapshot, Vote};
use super::sealed;
use super::segment;
use crate::ids;

/// Random bytes of a disk's name.
const IDENTITY_BYTES: usize = 16;

/// Digits of a segment's number in its file name.
const NUMBER_DIGITS: usize = 10;

/// Name of a disk, as stored.
#[derive(Debug, Serialize, Deserialize)]
struct Identity {
    disk: DiskId,
}

/// What a stored snapshot says about itself.
#[derive(Debug, Serialize, Deserialize)]
struct Header {
    index: ids::LogIndex,
    term: ids::LogTerm,
    members: Membership,
    /// First segment that belongs to it; those before it are void.
    segment: u64,
}

/// A segment on disk.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    /// Its number.
    pub(super) number: u64,
    /// Highest index in it.
    pub(super) highest: ids::LogIndex,
}

/// A torn tail that was cut off.
#[derive(Clone, Debug)]
pub(super) struct Cut {
    /// The file.
    pub(super) file: PathBuf,
    /// Its length from now on.
    pub(super) offset: u64,
    /// What was found there.
    pub(super) found: &'static str,
}

/// Everything that a data folder holds.
#[derive(Debug)]
pub(super) struct Contents {
    /// The disk.
    pub(super) disk: DiskId,
    /// Its vote.
    pub(super) vote: Vote,
    /// The newest snapshot.
    pub(super) snapshot: Option<Snapshot>,
    /// Entries after it.
    pub(super) entries: Vec<Entry>,
    /// Segments, oldest first.
    pub(super) segments: Vec<Segment>,
    /// Number that the next new segment takes.
    pub(super) next: u64,
    /// The tail that was cut off, if any.
    pub(super) cut: Option<Cut>,
    /// Lock on the folder.
    pub(super) lock: File,
}

/// Path of a segment.
pub(super) fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:0NUMBER_DIGITS$}.log"))
}

/// Path of the snapshot.
pub(super) fn snapshot_path(folder: &Path) -> PathBuf {
    folder.join("snapshot")
}

/// Path of the vote.
pub(super) fn vote_path(folder: &Path) -> PathBuf {
    folder.join("vote")
}

/// Opens a folder and reads everything in it; a new one gets a name.
pub(super) fn open(folder: &Path) -> Result<Contents, OpenError> {
    fs::create_dir_all(folder).map_err(|e| OpenError::io(folder, &e))?;
    let lock = lock(folder)?;
    let numbers = numbers(folder)?;
    let (snapshot, first) = read_snapshot(folder)?;
    let blank = numbers.is_empty() && snapshot.is_none();
    let (disk, vote) = read_identity(folder, blank)?;
    let mut contents = Contents {
        disk,
        vote,
        snapshot,
        entries: Vec::new(),
        segments: Vec::new(),
        next: first.max(1),
        cut: None,
        lock,
    };
    drop_before(folder, &numbers, first)?;
    for number in numbers.iter().filter(|n| **n >= first) {
        let last = numbers.last() == Some(number);
        read_segment(folder, *number, last, &mut contents)?;
    }
    trim(&mut contents);
    Ok(contents)
}

/// Stores a snapshot; segments before `segment` are void from then on.
pub(super) fn write_snapshot(folder: &Path, snapshot: &Snapshot, segment: u64) -> io::Result<()> {
    let header = Header {
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.clone(),
        segment,
    };
    let header = serde_json::to_vec(&header)?;
    let length = u32::try_from(header.len()).map_err(io::Error::other)?;
    let mut content = length.to_be_bytes().to_vec();
    content.extend_from_slice(&header);
    content.extend_from_slice(&snapshot.data);
    sealed::write(&snapshot_path(folder), &content)
}

/// Stores a vote.
pub(super) fn write_vote(folder: &Path, vote: &Vote) -> io::Result<()> {
    sealed::write(&vote_path(folder), &serde_json::to_vec(vote)?)
}

fn lock(folder: &Path) -> Result<File, OpenError> {
    let path = folder.join("lock");
    let file = File::create(&path).map_err(|e| OpenError::io(&path, &e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => Err(OpenError::locked(&path)),
        Err(fs::TryLockError::Error(e)) => Err(OpenError::io(&path, &e)),
    }
}

/// Numbers of all segments, in order.
fn numbers(folder: &Path) -> Result<Vec<u64>, OpenError> {
    let failed = |e: io::Error| OpenError::io(folder, &e);
    let mut numbers = Vec::new();
    for item in fs::read_dir(folder).map_err(failed)? {
        let name = item.map_err(failed)?.file_name();
        let stem = name.to_str().and_then(|n| n.strip_suffix(".log"));
        numbers.extend(stem.and_then(|s| s.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn read_identity(folder: &Path, blank: bool) -> Result<(DiskId, Vote), OpenError> {
    let path = folder.join("identity");
    let vote_path = vote_path(folder);
    let identity: Option<Identity> = read_json(&path)?;
    let vote: Option<Vote> = read_json(&vote_path)?;
    match (identity, vote) {
        (Some(identity), Some(vote)) => Ok((identity.disk, vote)),
        (None, Some(_)) => Err(OpenError::corrupt(&path, 0, "no file")),
        (None, None) if !blank => Err(OpenError::corrupt(&path, 0, "no file")),
        (Some(_), None) if !blank => Err(OpenError::corrupt(&vote_path, 0, "no file")),
        (_, None) => new_identity(folder, &path),
    }
}

/// Names a new disk. The vote comes last: without it the disk has taken part in nothing.
fn new_identity(folder: &Path, path: &Path) -> Result<(DiskId, Vote), OpenError> {
    let failed = |e: io::Error| OpenError::io(path, &e);
    let mut bytes = [0; IDENTITY_BYTES];
    let mut random = File::open("/dev/urandom").map_err(failed)?;
    random.read_exact(&mut bytes).map_err(failed)?;
    let disk: DiskId = codec::hex(&bytes).into();
    let identity = Identity {
        disk: Arc::clone(&disk),
    };
    let json = serde_json::to_vec(&identity).map_err(|e| failed(e.into()))?;
    sealed::write(path, &json).map_err(failed)?;
    write_vote(folder, &Vote::default()).map_err(failed)?;
    sealed::sync_folder(folder).map_err(failed)?;
    Ok((disk, Vote::default()))
}

fn read_json<T>(path: &Path) -> Result<Option<T>, OpenError>
where
    T: for<'de> Deserialize<'de>,
{
    let Some(content) = sealed::read(path)? else {
        return Ok(None);
    };
    serde_json::from_slice(&content)
        .map(Some)
        .map_err(|_| OpenError::corrupt(path, 0, "an unknown content"))
}

/// The snapshot and its first segment.
fn read_snapshot(folder: &Path) -> Result<(Option<Snapshot>, u64), OpenError> {
    let path = snapshot_path(folder);
    let Some(content) = sealed::read(&path)? else {
        return Ok((None, 0));
    };
    let (header, data) = split_snapshot(&content)
        .ok_or_else(|| OpenError::corrupt(&path, 0, "an unknown header"))?;
    let snapshot = Snapshot {
        index: header.index,
        term: header.term,
        members: header.members,
        data,
    };
    Ok((Some(snapshot), header.segment))
}

fn split_snapshot(content: &[u8]) -> Option<(Header, Vec<u8>)> {
    let (length, rest) = content.split_first_chunk::<4>()?;
    let (header, data) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
    Some((serde_json::from_slice(header).ok()?, data.to_vec()))
}

/// Removes segments that a snapshot made void before a crash kept them.
fn drop_before(folder: &Path, numbers: &[u64], first: u64) -> Result<(), OpenError> {
    for number in numbers.iter().filter(|n| **n < first) {
        let path = segment_path(folder, *number);
        fs::remove_file(&path).map_err(|e| OpenError::io(&path, &e))?;
    }
    Ok(())
}

fn read_segment(
    folder: &Path,
    number: u64,
    last: bool,
    contents: &mut Contents,
) -> Result<(), OpenError> {
    let path = segment_path(folder, number);
    if number != contents.next {
        let path = segment_path(folder, contents.next);
        return Err(OpenError::corrupt(&path, 0, "no file"));
    }
    let bytes = fs::read(&path).map_err(|e| OpenError::io(&path, &e))?;
    let scan = segment::scan(&bytes);
    if let Some(damage) = scan.damage {
        let offset = damage.offset as u64;
        if !(last && damage.tail) {
            return Err(OpenError::corrupt(&path, offset, damage.found));
        }
        cut(&path, offset).map_err(|e| OpenError::io(&path, &e))?;
        contents.cut = Some(Cut {
            file: path.clone(),
            offset,
            found: damage.found,
        });
    }
    let highest = scan.entries.iter().map(|e| e.index).max();
    for entry in scan.entries {
        take(contents, entry).map_err(|found| OpenError::corrupt(&path, 0, found))?;
    }
    contents.next = number.saturating_add(1);
    contents.segments.push(Segment {
        number,
        highest: highest.unwrap_or(0),
    });
    Ok(())
}

fn cut(path: &Path, length: u64) -> io::Result<()> {
    let file = File::options().write(true).open(path)?;
    file.set_len(length)?;
    file.sync_all()
}

/// Adds an entry; one with an index already there replaces it and all after it.
fn take(contents: &mut Contents, entry: Entry) -> Result<(), &'static str> {
    let covered = contents.snapshot.as_ref().map_or(0, |s| s.index);
    let entries = &mut contents.entries;
    while entries.last().is_some_and(|e| e.index >= entry.index) {
        entries.pop();
    }
    let after = entries.last().map_or(covered, |e| e.index);
    if entry.index > after.saturating_add(1) {
        return Err("a gap between entries");
    }
    entries.push(entry);
    Ok(())
}

/// Forgets entries that the snapshot covers.
fn trim(contents: &mut Contents) {
    let covered = contents.snapshot.as_ref().map_or(0, |s| s.index);
    contents.entries.retain(|e| e.index > covered);
}
