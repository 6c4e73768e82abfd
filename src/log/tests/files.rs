//! Files: what was written is read again, and no damage passes for content.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use tempfile::TempDir;

use crate::log::OpenError;
use crate::log::disk::{Disk, Work};
use crate::log::folder;
use crate::log::model::{Body, Entry, Membership, Seat, Snapshot};
use crate::log::segment;
use crate::runtime;

/// Cases of each property.
const CASES: u64 = 200;

/// Runs a property with fixed seeds; a failure names its seed.
fn each_seed<P>(property: P)
where
    P: Fn(&mut Unstructured<'_>) -> Result<()> + Copy,
{
    for case in 0..CASES {
        let seed = (case << 32) | 0x1000;
        arbtest(property).seed(seed).run();
    }
}

fn members(word: u8) -> Membership {
    let seat = Seat {
        vm: format!("vm{word}").into(),
        disk: format!("disk{word}").into(),
        address: ([127, 0, 0, 1], 4000 + u16::from(word)).into(),
        voter: word.is_multiple_of(2),
    };
    Membership {
        founder: "founder".into(),
        seats: vec![seat],
    }
}

fn body(u: &mut Unstructured<'_>) -> Result<Body> {
    Ok(match u.int_in_range(0..=5)? {
        0 => Body::Noop,
        1 => Body::Members(members(u.arbitrary()?)),
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
    frames.iter().map(|f| segment::frame(f)).collect()
}

#[test]
fn a_segment_is_read_as_it_was_written() {
    each_seed(|u| {
        let frames = frames(u)?;
        let scan = segment::scan(&encode(&frames).concat());
        assert_eq!(scan.damage, None);
        assert_eq!(scan.entries, frames.concat());
        Ok(())
    });
}

#[test]
fn a_cut_tail_leaves_whole_frames_only() {
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
        let whole = ends.filter(|end| *end <= length).count();
        assert_eq!(scan.entries, frames[..whole].concat());
        assert!(scan.damage.is_none_or(|d| d.tail));
        Ok(())
    });
}

#[test]
fn a_changed_byte_is_never_accepted() {
    each_seed(|u| {
        let frames = frames(u)?;
        let encoded = encode(&frames);
        let mut bytes = encoded.concat();
        let at = u.int_in_range(0..=bytes.len() - 1)?;
        bytes[at] ^= u.int_in_range(1..=255u8)?;
        let last = bytes.len() - encoded[encoded.len() - 1].len();
        let scan = segment::scan(&bytes);
        let damage = scan.damage.unwrap();
        assert_eq!(damage.tail, at >= last, "byte {at} of {}", bytes.len());
        assert!(damage.offset <= at);
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

fn write_segment(folder: &Path, number: u64, frames: &[Vec<Entry>]) {
    fs::write(
        folder::segment_path(folder, number),
        encode(frames).concat(),
    )
    .unwrap();
}

/// A named folder with two segments.
fn sample() -> TempDir {
    let folder = TempDir::new().unwrap();
    drop(folder::open(folder.path()).unwrap());
    write_segment(
        folder.path(),
        1,
        &[vec![command(1, 1)], vec![command(2, 1)]],
    );
    write_segment(
        folder.path(),
        2,
        &[vec![command(3, 1)], vec![command(4, 1)]],
    );
    folder
}

fn damaged(folder: &Path) -> (String, u64) {
    match folder::open(folder) {
        Err(OpenError::Corrupt { file, offset, .. }) => {
            let name = Path::new(&*file).file_name().unwrap();
            (name.to_str().unwrap().to_owned(), offset)
        }
        other => panic!("not refused: {other:?}"),
    }
}

fn flip(path: &Path, at: usize) {
    let mut bytes = fs::read(path).unwrap();
    bytes[at] ^= 1;
    fs::write(path, bytes).unwrap();
}

#[test]
fn a_later_entry_replaces_those_from_its_index_on() {
    let folder = sample();
    write_segment(folder.path(), 3, &[vec![command(3, 2)]]);
    let contents = folder::open(folder.path()).unwrap();
    let expected = [command(1, 1), command(2, 1), command(3, 2)];
    assert_eq!(contents.entries, expected);
    assert_eq!(contents.next, 4);
}

#[test]
fn segments_that_a_snapshot_made_void_are_dropped() {
    let folder = sample();
    let snapshot = Snapshot {
        index: 9,
        term: 2,
        members: members(1),
        data: Vec::new(),
    };
    folder::write_snapshot(folder.path(), &snapshot, 3).unwrap();
    let contents = folder::open(folder.path()).unwrap();
    assert_eq!(contents.entries, []);
    assert_eq!(contents.next, 3);
    assert!(!folder::segment_path(folder.path(), 1).exists());
    drop(contents);
    write_segment(folder.path(), 3, &[vec![command(11, 2)]]);
    assert_eq!(damaged(folder.path()).0, "0000000003.log");
}

fn segments(folder: &Path) -> Vec<u64> {
    let contents = folder::open(folder).unwrap();
    contents.segments.iter().map(|s| s.number).collect()
}

/// Has the disk thread do work in order, then closes it.
fn write(folder: &Path, jobs: Vec<Work>) {
    let contents = folder::open(folder).unwrap();
    let mut disk = Disk::start(folder, contents.segments, contents.next, contents.lock).unwrap();
    runtime::run(async {
        let work = monoio::spawn(async move {
            for job in jobs {
                assert_eq!(disk.submit(job).await, Ok(()));
            }
            disk.close();
        });
        work.await;
    });
}

#[test]
fn a_snapshot_drops_the_segments_that_it_covers() {
    let folder = TempDir::new().unwrap();
    let save = |index| {
        Work::Save(Arc::new(Snapshot {
            index,
            term: 1,
            members: members(1),
            data: Vec::new(),
        }))
    };
    let first = Work::Append(vec![command(1, 1), command(2, 1)]);
    write(folder.path(), vec![first, save(1)]);
    assert_eq!(segments(folder.path()), [1]);
    write(
        folder.path(),
        vec![Work::Append(vec![command(3, 1)]), save(2)],
    );
    assert_eq!(segments(folder.path()), [2]);
    write(
        folder.path(),
        vec![save(3), Work::Append(vec![command(4, 1)])],
    );
    assert_eq!(segments(folder.path()), [3]);
    let contents = folder::open(folder.path()).unwrap();
    assert_eq!(contents.entries, [command(4, 1)]);
}

#[test]
fn a_torn_tail_is_cut_once() {
    let folder = sample();
    let path = folder::segment_path(folder.path(), 2);
    let length = fs::metadata(&path).unwrap().len();
    fs::File::options()
        .write(true)
        .open(&path)
        .unwrap()
        .set_len(length - 3)
        .unwrap();
    let contents = folder::open(folder.path()).unwrap();
    assert_eq!(contents.entries.len(), 3);
    assert_eq!(contents.cut.as_ref().unwrap().offset, length / 2);
    drop(contents);
    assert!(folder::open(folder.path()).unwrap().cut.is_none());
}

#[test]
fn damage_before_the_tail_is_refused_by_name() {
    let folder = sample();
    let first = folder::segment_path(folder.path(), 1);
    let half = fs::read(&first).unwrap().len() / 2;
    flip(&first, half + 1);
    assert_eq!(
        damaged(folder.path()),
        ("0000000001.log".to_owned(), half as u64)
    );
    flip(&first, half + 1);
    let second = folder::segment_path(folder.path(), 2);
    flip(&second, 20);
    assert_eq!(damaged(folder.path()), ("0000000002.log".to_owned(), 0));
}

#[test]
fn a_missing_file_is_refused_by_name() {
    for missing in ["identity", "vote", "0000000001.log"] {
        let folder = sample();
        fs::remove_file(folder.path().join(missing)).unwrap();
        assert_eq!(damaged(folder.path()), (missing.to_owned(), 0));
    }
}

#[test]
fn a_changed_small_file_is_refused_by_name() {
    let folder = sample();
    let snapshot = Snapshot {
        index: 2,
        term: 1,
        members: members(1),
        data: b"state".to_vec(),
    };
    folder::write_snapshot(folder.path(), &snapshot, 1).unwrap();
    let contents = folder::open(folder.path()).unwrap();
    assert_eq!(contents.snapshot, Some(snapshot));
    assert_eq!(contents.entries, [command(3, 1), command(4, 1)]);
    drop(contents);
    for name in ["identity", "vote", "snapshot"] {
        let path = folder.path().join(name);
        for at in 0..fs::read(&path).unwrap().len() {
            flip(&path, at);
            assert_eq!(damaged(folder.path()).0, name);
            flip(&path, at);
        }
    }
}

#[test]
fn a_disk_keeps_its_name_and_a_new_folder_gets_another() {
    let folder = sample();
    let name = || -> Arc<str> { folder::open(folder.path()).unwrap().disk };
    let first = name();
    assert_eq!(name(), first);
    fs::remove_dir_all(folder.path()).unwrap();
    assert_ne!(name(), first);
}
