//! Tests of the data directory: files are read back as written, and corruption is detected.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use tempfile::TempDir;

use crate::log::OpenError;
use crate::log::atomic_file;
use crate::log::data_dir;
use crate::log::model::{Body, Entry, Membership, Replica, Snapshot};
use crate::log::segment;
use crate::log::writer::{DiskWriter, Job};
use crate::runtime;

/// Cases for each property.
const CASES: u64 = 200;

/// Runs a property with fixed seeds; a failure prints its seed.
fn each_seed<P>(property: P)
where
    P: Fn(&mut Unstructured<'_>) -> Result<()> + Copy,
{
    for case in 0..CASES {
        let seed = (case << 32) | 0x1000;
        arbtest(property).seed(seed).run();
    }
}

fn membership(number: u8) -> Membership {
    let replica = Replica {
        vm: format!("vm{number}").into(),
        id: format!("disk{number}").into(),
        address: ([127, 0, 0, 1], 4000 + u16::from(number)).into(),
        voter: number.is_multiple_of(2),
        zone: (number < 128).then(|| format!("zone{number}").into()),
    };
    Membership {
        cluster_id: "founder".into(),
        replicas: vec![replica],
    }
}

fn body(u: &mut Unstructured<'_>) -> Result<Body> {
    Ok(match u.int_in_range(0..=5)? {
        0 => Body::Noop,
        1 => Body::Membership(membership(u.arbitrary()?)),
        _ => Body::Command(u.arbitrary::<Vec<u8>>()?.into()),
    })
}

/// Frames of consecutive entries, at least two frames.
fn frames(u: &mut Unstructured<'_>) -> Result<Vec<Vec<Entry>>> {
    let mut index = 0;
    let mut frames = Vec::new();
    for _ in 0..u.int_in_range(2..=6)? {
        let mut entries = Vec::new();
        for _ in 0..u.int_in_range(1..=4)? {
            index += 1;
            entries.push(Entry {
                index,
                term: 1,
                body: body(u)?,
            });
        }
        frames.push(entries);
    }
    Ok(frames)
}

fn encode(frames: &[Vec<Entry>]) -> Vec<Vec<u8>> {
    frames.iter().map(|f| segment::encode_frame(f)).collect()
}

#[test]
fn segment_round_trips() {
    each_seed(|u| {
        let frames = frames(u)?;
        let scan = segment::scan(&encode(&frames).concat());
        assert_eq!(scan.corruption, None);
        assert_eq!(scan.entries, frames.concat());
        Ok(())
    });
}

#[test]
fn truncated_segment_keeps_complete_frames() {
    each_seed(|u| {
        let frames = frames(u)?;
        let encoded = encode(&frames);
        let bytes = encoded.concat();
        let length = u.int_in_range(0..=bytes.len())?;
        let scan = segment::scan(&bytes[..length]);
        let ends = encoded.iter().scan(0, |end, f| {
            *end += f.len();
            Some(*end)
        });
        let complete = ends.filter(|end| *end <= length).count();
        assert_eq!(scan.entries, frames[..complete].concat());
        assert!(scan.corruption.is_none_or(|c| c.at_tail));
        Ok(())
    });
}

#[test]
fn flipped_byte_is_detected() {
    each_seed(|u| {
        let frames = frames(u)?;
        let encoded = encode(&frames);
        let mut bytes = encoded.concat();
        let at = u.int_in_range(0..=bytes.len() - 1)?;
        bytes[at] ^= u.int_in_range(1..=255u8)?;
        let last = bytes.len() - encoded[encoded.len() - 1].len();
        let scan = segment::scan(&bytes);
        let corruption = scan.corruption.unwrap();
        assert_eq!(
            corruption.at_tail,
            at >= last,
            "byte {at} of {}",
            bytes.len()
        );
        assert!(corruption.offset <= at);
        assert!(frames.concat().starts_with(&scan.entries));
        Ok(())
    });
}

fn command(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        body: Body::Command(index.to_be_bytes().as_slice().into()),
    }
}

fn write_segment(dir: &Path, number: u64, frames: &[Vec<Entry>]) {
    fs::write(data_dir::segment_path(dir, number), encode(frames).concat()).unwrap();
}

/// An initialized data directory with two segments of two frames.
fn sample_dir() -> TempDir {
    let dir = TempDir::new().unwrap();
    drop(data_dir::open(dir.path()).unwrap());
    write_segment(dir.path(), 1, &[vec![command(1, 1)], vec![command(2, 1)]]);
    write_segment(dir.path(), 2, &[vec![command(3, 1)], vec![command(4, 1)]]);
    dir
}

fn corrupt_file(dir: &Path) -> (String, u64) {
    match data_dir::open(dir) {
        Err(OpenError::Corrupt { file, offset, .. }) => {
            let name = Path::new(&*file).file_name().unwrap();
            (name.to_str().unwrap().to_owned(), offset)
        }
        other => panic!("not an error about corruption: {other:?}"),
    }
}

fn flip(path: &Path, at: usize) {
    let mut bytes = fs::read(path).unwrap();
    bytes[at] ^= 1;
    fs::write(path, bytes).unwrap();
}

#[test]
fn rewritten_index_replaces_later_entries() {
    let dir = sample_dir();
    write_segment(dir.path(), 3, &[vec![command(3, 2)]]);
    let contents = data_dir::open(dir.path()).unwrap();
    let expected = [command(1, 1), command(2, 1), command(3, 2)];
    assert_eq!(contents.entries, expected);
    assert_eq!(contents.next_segment, 4);
}

#[test]
fn obsolete_segments_are_removed() {
    let dir = sample_dir();
    let snapshot = Snapshot {
        index: 9,
        term: 2,
        membership: membership(1),
        data: Vec::new(),
    };
    data_dir::write_snapshot(dir.path(), &snapshot, 3).unwrap();
    let contents = data_dir::open(dir.path()).unwrap();
    assert_eq!(contents.entries, []);
    assert_eq!(contents.next_segment, 3);
    assert!(!data_dir::segment_path(dir.path(), 1).exists());
    drop(contents);
    write_segment(dir.path(), 3, &[vec![command(11, 2)]]);
    assert_eq!(corrupt_file(dir.path()).0, "0000000003.log");
}

fn segments(dir: &Path) -> Vec<u64> {
    let contents = data_dir::open(dir).unwrap();
    contents.segments.iter().map(|s| s.number).collect()
}

/// Runs jobs on a writer thread in order, then closes it.
fn run_jobs(dir: &Path, jobs: Vec<Job>) {
    let contents = data_dir::open(dir).unwrap();
    let mut writer =
        DiskWriter::start(dir, contents.segments, contents.next_segment, contents.lock).unwrap();
    runtime::run(async {
        let task = monoio::spawn(async move {
            for job in jobs {
                assert_eq!(writer.submit(job).await, Ok(()));
            }
            writer.close();
        });
        task.await;
    });
}

#[test]
fn snapshot_removes_covered_segments() {
    let dir = TempDir::new().unwrap();
    let save = |index| {
        Job::SaveSnapshot(Arc::new(Snapshot {
            index,
            term: 1,
            membership: membership(1),
            data: Vec::new(),
        }))
    };
    let first = Job::Append(vec![command(1, 1), command(2, 1)]);
    run_jobs(dir.path(), vec![first, save(1)]);
    assert_eq!(segments(dir.path()), [1]);
    run_jobs(dir.path(), vec![Job::Append(vec![command(3, 1)]), save(2)]);
    assert_eq!(segments(dir.path()), [2]);
    run_jobs(dir.path(), vec![save(3), Job::Append(vec![command(4, 1)])]);
    assert_eq!(segments(dir.path()), [3]);
    let contents = data_dir::open(dir.path()).unwrap();
    assert_eq!(contents.entries, [command(4, 1)]);
}

#[test]
fn torn_tail_is_truncated_once() {
    let dir = sample_dir();
    let path = data_dir::segment_path(dir.path(), 2);
    let length = fs::metadata(&path).unwrap().len();
    fs::File::options()
        .write(true)
        .open(&path)
        .unwrap()
        .set_len(length - 3)
        .unwrap();
    let contents = data_dir::open(dir.path()).unwrap();
    assert_eq!(contents.entries.len(), 3);
    assert_eq!(contents.torn_tail.as_ref().unwrap().offset, length / 2);
    drop(contents);
    assert!(data_dir::open(dir.path()).unwrap().torn_tail.is_none());
}

#[test]
fn corruption_before_the_tail_is_reported_with_its_file() {
    let dir = sample_dir();
    let first = data_dir::segment_path(dir.path(), 1);
    let frame_bytes = fs::read(&first).unwrap().len() / 2;
    flip(&first, frame_bytes + 1);
    assert_eq!(
        corrupt_file(dir.path()),
        ("0000000001.log".to_owned(), frame_bytes as u64)
    );
    flip(&first, frame_bytes + 1);
    let second = data_dir::segment_path(dir.path(), 2);
    flip(&second, 20);
    assert_eq!(corrupt_file(dir.path()), ("0000000002.log".to_owned(), 0));
}

#[test]
fn missing_file_is_reported() {
    for missing in ["identity", "vote", "0000000001.log"] {
        let dir = sample_dir();
        fs::remove_file(dir.path().join(missing)).unwrap();
        assert_eq!(corrupt_file(dir.path()), (missing.to_owned(), 0));
    }
}

#[test]
fn corrupt_small_file_is_reported() {
    let dir = sample_dir();
    let snapshot = Snapshot {
        index: 2,
        term: 1,
        membership: membership(1),
        data: b"state".to_vec(),
    };
    data_dir::write_snapshot(dir.path(), &snapshot, 1).unwrap();
    let contents = data_dir::open(dir.path()).unwrap();
    assert_eq!(contents.snapshot, Some(snapshot));
    assert_eq!(contents.entries, [command(3, 1), command(4, 1)]);
    drop(contents);
    for name in ["identity", "vote", "snapshot"] {
        let path = dir.path().join(name);
        for at in 0..fs::read(&path).unwrap().len() {
            flip(&path, at);
            assert_eq!(corrupt_file(dir.path()).0, name);
            flip(&path, at);
        }
    }
}

#[test]
fn replica_id_persists_until_the_directory_is_recreated() {
    let dir = sample_dir();
    let replica_id = || -> Arc<str> { data_dir::open(dir.path()).unwrap().replica };
    let first = replica_id();
    assert_eq!(replica_id(), first);
    fs::remove_dir_all(dir.path()).unwrap();
    assert_ne!(replica_id(), first);
}

/// Guards against entries, a vote or a snapshot that count toward a quorum although they are in the
/// page cache only, as after a process that ended between a write and its sync.
#[test]
fn everything_read_at_a_start_is_synced_before_it_counts() {
    let dir = sample_dir();
    let snapshot = Snapshot {
        index: 1,
        term: 1,
        membership: membership(1),
        data: b"state".to_vec(),
    };
    // No job syncs these: they are as a process left them that was killed.
    data_dir::write_snapshot(dir.path(), &snapshot, 3).unwrap();
    write_segment(dir.path(), 1, &[vec![command(1, 1)]]);
    write_segment(dir.path(), 3, &[vec![command(2, 1)]]);
    write_segment(dir.path(), 4, &[vec![command(3, 1)]]);
    atomic_file::SYNCED.with_borrow_mut(Vec::clear);
    let contents = data_dir::open(dir.path()).unwrap();
    assert_eq!(contents.entries.len(), 2);
    let synced = atomic_file::SYNCED.take();
    let position = |path: &Path| {
        let found = synced.iter().position(|p| p == path);
        found.unwrap_or_else(|| panic!("{} is not synced", path.display()))
    };
    let directory = position(dir.path());
    for name in [
        "identity",
        "vote",
        "snapshot",
        "0000000003.log",
        "0000000004.log",
    ] {
        assert!(position(&dir.path().join(name)) < directory, "{name}");
    }
    assert!(position(dir.path().parent().unwrap()) > directory);
    assert!(!data_dir::segment_path(dir.path(), 1).exists());
}
