//! The thread that writes and syncs.
//!
//! Syncing blocks, so it has its own thread. Jobs are done in order, and a
//! job is answered only once its bytes are synced. After a failed write or
//! sync nothing more is written: what the disk holds is then unknown.

use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};

use super::folder::{self, Segment};
use super::model::{Entry, Snapshot, Vote};
use super::sealed;
use super::segment;
use super::slot::{Done, Slot};
use crate::ids;

/// Size at which a new segment is begun, in bytes.
const SEGMENT_BYTES: u64 = 16 << 20;

/// Work for the thread.
#[derive(Debug)]
pub(super) enum Work {
    /// Appends entries.
    Append(Vec<Entry>),
    /// Stores a vote.
    Vote(Vote),
    /// Stores a snapshot and drops the segments that it covers.
    Save(Arc<Snapshot>),
    /// Stores a snapshot from elsewhere and drops all segments.
    Install(Arc<Snapshot>),
}

struct Job {
    work: Work,
    done: Slot<Synced>,
}

/// Result of a job.
type Synced = Result<(), Arc<str>>;

/// The side of the thread that gives it work.
#[derive(Debug)]
pub(super) struct Disk {
    jobs: Option<mpsc::Sender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Disk {
    /// Starts the thread for a folder just read.
    pub(super) fn start(
        folder: &Path,
        segments: Vec<Segment>,
        next: u64,
        lock: File,
    ) -> io::Result<Self> {
        let (jobs, queue) = mpsc::channel();
        let mut store = Store {
            folder: folder.to_path_buf(),
            segments,
            next,
            file: None,
            size: 0,
            failed: None,
            _lock: lock,
        };
        let thread = thread::Builder::new()
            .name("log-disk".into())
            .spawn(move || store.work(&queue))?;
        Ok(Self {
            jobs: Some(jobs),
            thread: Some(thread),
        })
    }

    /// Hands over work; the answer says that it is synced.
    pub(super) fn submit(&self, work: Work) -> Done<Synced> {
        let (slot, done) = Slot::new();
        let job = Job { work, done: slot };
        let unsent = match &self.jobs {
            Some(jobs) => jobs.send(job).err().map(|refused| refused.0),
            None => Some(job),
        };
        if let Some(job) = unsent {
            job.done.finish(Err("the disk thread has ended".into()));
        }
        done
    }

    /// Ends the thread once it has done its work, and gives the folder free.
    pub(super) fn close(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The files that the thread writes.
struct Store {
    folder: PathBuf,
    segments: Vec<Segment>,
    next: u64,
    file: Option<File>,
    size: u64,
    failed: Option<Arc<str>>,
    _lock: File,
}

impl Store {
    fn work(&mut self, queue: &mpsc::Receiver<Job>) {
        while let Ok(job) = queue.recv() {
            let result = match &self.failed {
                Some(reason) => Err(Arc::clone(reason)),
                None => self.run(&job.work).map_err(|e| e.to_string().into()),
            };
            self.failed = result.as_ref().err().cloned();
            job.done.finish(result);
        }
    }

    fn run(&mut self, work: &Work) -> io::Result<()> {
        match work {
            Work::Append(entries) => self.append(entries),
            Work::Vote(vote) => folder::write_vote(&self.folder, vote),
            Work::Save(snapshot) => self.save(snapshot),
            Work::Install(snapshot) => self.install(snapshot),
        }
    }

    fn append(&mut self, entries: &[Entry]) -> io::Result<()> {
        if self.size >= SEGMENT_BYTES {
            self.file = None;
        }
        let frame = segment::frame(entries);
        let mut file = match self.file.take() {
            Some(file) => file,
            None => self.begin()?,
        };
        file.write_all(&frame)?;
        file.sync_data()?;
        if file.metadata()?.nlink() == 0 {
            return Err(io::Error::other("the segment was removed from its folder"));
        }
        self.file = Some(file);
        self.size += frame.len() as u64;
        let highest = entries.iter().map(|e| e.index).max().unwrap_or(0);
        if let Some(segment) = self.segments.last_mut() {
            segment.highest = segment.highest.max(highest);
        }
        Ok(())
    }

    fn begin(&mut self) -> io::Result<File> {
        let path = folder::segment_path(&self.folder, self.next);
        let file = File::options().create_new(true).append(true).open(&path)?;
        sealed::sync_folder(&path)?;
        self.segments.push(Segment {
            number: self.next,
            highest: 0,
        });
        self.next += 1;
        self.size = 0;
        Ok(file)
    }

    fn save(&mut self, snapshot: &Snapshot) -> io::Result<()> {
        self.file = None;
        let covered = self.covered(snapshot.index);
        let kept = self.segments.get(covered);
        let first = kept.map_or(self.next, |s| s.number);
        folder::write_snapshot(&self.folder, snapshot, first)?;
        self.drop_first(covered)
    }

    fn install(&mut self, snapshot: &Snapshot) -> io::Result<()> {
        self.file = None;
        folder::write_snapshot(&self.folder, snapshot, self.next)?;
        self.drop_first(self.segments.len())
    }

    /// How many of the oldest segments hold nothing after `index`.
    fn covered(&self, index: ids::LogIndex) -> usize {
        let over = |s: &&Segment| s.highest <= index;
        self.segments.iter().take_while(over).count()
    }

    fn drop_first(&mut self, count: usize) -> io::Result<()> {
        for segment in self.segments.drain(..count) {
            fs::remove_file(folder::segment_path(&self.folder, segment.number))?;
        }
        Ok(())
    }
}
