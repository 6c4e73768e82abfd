//! The thread that writes to the data directory and syncs it.
//!
//! Syncs block, so they run on a thread of their own. Jobs run in order, and a
//! job completes only once its bytes are synced. After a failed write or sync
//! all later jobs fail, because the content of the disk is unknown.

use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::atomic_file;
use super::data_dir::{self, Segment};
use super::model::{Entry, Snapshot, Vote};
use super::oneshot::{Receiver, Sender};
use super::segment;
use crate::clock;
use crate::ids;

/// Size from which on a segment takes no more entries.
const SEGMENT_BYTES: u64 = 16 << 20;

/// Duration from which on a job is logged: about the shortest lease.
const SLOW_JOB: Duration = Duration::from_millis(500);

/// A write to the data directory.
#[derive(Debug)]
pub(super) enum Job {
    /// Appends entries.
    Append(Vec<Entry>),
    /// Stores a vote.
    Vote(Vote),
    /// Stores a snapshot and removes the segments that it covers.
    SaveSnapshot(Arc<Snapshot>),
    /// Stores a leader's snapshot and removes all segments.
    InstallSnapshot(Arc<Snapshot>),
}

impl Job {
    fn name(&self) -> &'static str {
        match self {
            Self::Append(_) => "append",
            Self::Vote(_) => "vote",
            Self::SaveSnapshot(_) => "save_snapshot",
            Self::InstallSnapshot(_) => "install_snapshot",
        }
    }
}

struct QueuedJob {
    job: Job,
    reply: Sender<JobResult>,
}

/// Result of a job: nothing, or the reason of the failure.
type JobResult = Result<(), Arc<str>>;

/// Handle to the writer thread.
#[derive(Debug)]
pub(super) struct DiskWriter {
    jobs: Option<mpsc::Sender<QueuedJob>>,
    thread: Option<JoinHandle<()>>,
}

impl DiskWriter {
    /// Starts the thread for an opened data directory.
    pub(super) fn start(
        data_dir: &Path,
        segments: Vec<Segment>,
        next_segment: u64,
        lock: File,
    ) -> io::Result<Self> {
        let (jobs, queue) = mpsc::channel();
        let mut writer = WriterThread {
            data_dir: data_dir.to_path_buf(),
            segments,
            next_segment,
            current: None,
            current_bytes: 0,
            failed: None,
            _lock: lock,
        };
        let thread = thread::Builder::new()
            .name("log-disk".into())
            .spawn(move || writer.run_jobs(&queue))?;
        Ok(Self {
            jobs: Some(jobs),
            thread: Some(thread),
        })
    }

    /// Queues a job; the result arrives once the job is synced or has failed.
    pub(super) fn submit(&self, job: Job) -> Receiver<JobResult> {
        let (sender, receiver) = Sender::new();
        let queued = QueuedJob { job, reply: sender };
        let rejected = match &self.jobs {
            Some(jobs) => jobs.send(queued).err().map(|error| error.0),
            None => Some(queued),
        };
        if let Some(queued) = rejected {
            queued.reply.send(Err("the disk thread has ended".into()));
        }
        receiver
    }

    /// Ends the thread after the queued jobs and unlocks the data directory.
    pub(super) fn close(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            // An error only means that the thread panicked; std has printed the message.
            let _ = thread.join();
        }
    }
}

/// State of the writer thread.
struct WriterThread {
    data_dir: PathBuf,
    segments: Vec<Segment>,
    next_segment: u64,
    /// Segment that entries are appended to.
    current: Option<File>,
    current_bytes: u64,
    /// Reason of the first failure.
    failed: Option<Arc<str>>,
    _lock: File,
}

impl WriterThread {
    fn run_jobs(&mut self, queue: &mpsc::Receiver<QueuedJob>) {
        while let Ok(queued) = queue.recv() {
            let begun = clock::now();
            let result = match &self.failed {
                Some(reason) => Err(Arc::clone(reason)),
                None => self.run(&queued.job).map_err(|e| e.to_string().into()),
            };
            self.failed = result.as_ref().err().cloned();
            let duration = clock::now().saturating_duration_since(begun);
            if duration >= SLOW_JOB {
                let ms = duration.as_millis();
                ::log::info!("event=log.slow_disk job={} ms={ms}", queued.job.name());
            }
            queued.reply.send(result);
        }
    }

    fn run(&mut self, job: &Job) -> io::Result<()> {
        match job {
            Job::Append(entries) => self.append(entries),
            Job::Vote(vote) => data_dir::write_vote(&self.data_dir, vote),
            Job::SaveSnapshot(snapshot) => self.save(snapshot),
            Job::InstallSnapshot(snapshot) => self.install(snapshot),
        }
    }

    fn append(&mut self, entries: &[Entry]) -> io::Result<()> {
        if self.current_bytes >= SEGMENT_BYTES {
            self.current = None;
        }
        let frame = segment::encode_frame(entries);
        let mut file = match self.current.take() {
            Some(file) => file,
            None => self.create_segment()?,
        };
        file.write_all(&frame)?;
        file.sync_data()?;
        if file.metadata()?.nlink() == 0 {
            return Err(io::Error::other("the segment file was removed"));
        }
        self.current = Some(file);
        self.current_bytes += frame.len() as u64;
        let highest_index = entries.iter().map(|e| e.index).max().unwrap_or(0);
        if let Some(segment) = self.segments.last_mut() {
            segment.highest_index = segment.highest_index.max(highest_index);
        }
        Ok(())
    }

    fn create_segment(&mut self) -> io::Result<File> {
        let path = data_dir::segment_path(&self.data_dir, self.next_segment);
        let file = File::options().create_new(true).append(true).open(&path)?;
        atomic_file::sync_parent(&path)?;
        self.segments.push(Segment {
            number: self.next_segment,
            highest_index: 0,
        });
        self.next_segment += 1;
        self.current_bytes = 0;
        Ok(file)
    }

    fn save(&mut self, snapshot: &Snapshot) -> io::Result<()> {
        self.current = None;
        let count = self.covered_segments(snapshot.index);
        let kept = self.segments.get(count);
        let first_segment = kept.map_or(self.next_segment, |s| s.number);
        data_dir::write_snapshot(&self.data_dir, snapshot, first_segment)?;
        self.remove_oldest(count)
    }

    fn install(&mut self, snapshot: &Snapshot) -> io::Result<()> {
        self.current = None;
        data_dir::write_snapshot(&self.data_dir, snapshot, self.next_segment)?;
        self.remove_oldest(self.segments.len())
    }

    /// Number of the oldest segments that hold no entry after `index`.
    fn covered_segments(&self, index: ids::LogIndex) -> usize {
        let is_covered = |s: &&Segment| s.highest_index <= index;
        self.segments.iter().take_while(is_covered).count()
    }

    fn remove_oldest(&mut self, count: usize) -> io::Result<()> {
        for segment in self.segments.drain(..count) {
            fs::remove_file(data_dir::segment_path(&self.data_dir, segment.number))?;
        }
        Ok(())
    }
}
