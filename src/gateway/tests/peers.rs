use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::udp::UdpSocket;

use super::mock::wait_until;
use super::selection::backend;
use crate::clock;
use crate::gateway::backend::Backend;
use crate::gateway::head::ReportedLoad;
use crate::gateway::peers::codec::{self, AgedReport, Datagram, Entry, MAX_ENTRIES};
use crate::gateway::peers::{self, Dropped, PeerLoads, Peers, Ring, socket};
use crate::runtime;

fn datagram(sender: &str, sequence: u64, in_flight: u16) -> Vec<u8> {
    let entry = Entry {
        server: peers::server_hash("s00"),
        in_flight,
        report: None,
    };
    codec::encode(&Datagram {
        sender: peers::vm_hash(sender),
        sequence,
        entries: vec![entry],
    })
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(1000 + index).unwrap()).into()
}

fn ring(count: usize, local: usize) -> Ring {
    Ring {
        vms: (0..count)
            .map(|i| (format!("vm-{i:04}").into(), address(i)))
            .collect(),
        local,
    }
}

/// Entry VM of a zone with its view of the backend servers.
fn vm(count: usize, local: usize, servers: usize) -> (Peers, Vec<Rc<Backend>>) {
    let backends: Vec<_> = (0..servers)
        .map(|i| backend(&format!("s{i:02}"), "near"))
        .collect();
    let peers = Peers::default();
    let name = format!("vm-{local:04}");
    peers.configure(&name, &ring(count, local), std::slice::from_ref(&backends));
    (peers, backends)
}

#[test]
fn datagrams_survive_a_round_trip_and_any_bytes_are_decoded_or_dropped() {
    for seed in 0..500_u64 {
        arbtest::arbtest(|u| {
            let mut entries = Vec::new();
            for _ in 0..u.int_in_range(0..=MAX_ENTRIES)? {
                let report = AgedReport {
                    requests: u.arbitrary()?,
                    percent: u.arbitrary()?,
                    age: Duration::from_millis(10 * u.int_in_range(0..=254)?),
                };
                entries.push(Entry {
                    server: u.arbitrary()?,
                    in_flight: u.arbitrary()?,
                    report: Some(report).filter(|_| u.arbitrary().unwrap_or(false)),
                });
            }
            let datagram = Datagram {
                sender: u.arbitrary()?,
                sequence: u.arbitrary()?,
                entries,
            };
            let mut bytes = codec::encode(&datagram);
            assert!(bytes.len() <= codec::MAX_BYTES);
            assert_eq!(codec::decode(&bytes).as_ref(), Some(&datagram));
            // Bytes that decode again are the encoding of what they decode to.
            let position = u.choose_index(bytes.len())?;
            bytes[position] = u.arbitrary()?;
            bytes.truncate(u.int_in_range(0..=bytes.len())?);
            if let Some(decoded) = codec::decode(&bytes) {
                assert_eq!(codec::encode(&decoded), bytes);
            }
            Ok(())
        })
        .seed(seed << 32 | 2048)
        .run();
    }
}

#[test]
fn longer_datagrams_and_other_versions_are_malformed() {
    let (peers, _) = vm(4, 0, 4);
    let mut long = datagram("vm-0001", 1, 3);
    for _ in 0..MAX_ENTRIES {
        long.extend_from_slice(&[0, 0, 0, 1, 0, 1, u8::MAX]);
    }
    let mut other_version = datagram("vm-0001", 1, 3);
    other_version[0] = 2;
    for bytes in [&long[..], &other_version, &[], &[1]] {
        assert_eq!(peers.receive(bytes, clock::now()), Err(Dropped::Malformed));
    }
    assert_eq!(peers.counters.malformed.get(), 4);
}

#[test]
fn old_and_unknown_datagrams_are_dropped_and_a_restarted_vm_is_heard_again() {
    clock::freeze();
    let (peers, backends) = vm(4, 0, 4);
    let receive = |bytes: &[u8]| peers.receive(bytes, clock::now());
    assert_eq!(receive(&datagram("vm-0001", 8, 3)), Ok(()));
    assert_eq!(receive(&datagram("vm-0001", 8, 5)), Err(Dropped::Old));
    assert_eq!(receive(&datagram("vm-0001", 7, 5)), Err(Dropped::Old));
    assert_eq!(receive(&datagram("vm-0000", 9, 5)), Err(Dropped::Unknown));
    assert_eq!(receive(&datagram("stranger", 9, 5)), Err(Dropped::Unknown));
    assert!((backends[0].load(clock::now()) - 3.0).abs() < 1e-9);
    clock::advance(peers::ENTRY_LIFETIME);
    assert_eq!(receive(&datagram("vm-0001", 1, 2)), Ok(()));
    assert!((backends[0].load(clock::now()) - 2.0).abs() < 1e-9);
    let counters = &peers.counters;
    assert_eq!((counters.old.get(), counters.unknown.get()), (2, 2));
}

#[test]
fn entries_of_a_vm_that_is_silent_expire() {
    let now = clock::now();
    let mut loads = PeerLoads::default();
    loads.record(1, 4, now);
    loads.record(2, 3, now + peers::ENTRY_LIFETIME / 2);
    assert!((loads.total(now + peers::ENTRY_LIFETIME / 2) - 7.0).abs() < 1e-9);
    assert!((loads.total(now + peers::ENTRY_LIFETIME) - 3.0).abs() < 1e-9);
    loads.record(2, 0, now + peers::ENTRY_LIFETIME);
    assert!(loads.total(now + peers::ENTRY_LIFETIME) < 1e-9);
}

/// Guards against messages that grow with the number of VMs, and against VMs that hear only one half
/// of those that share a server with them.
#[test]
fn receivers_are_few_and_hear_only_of_servers_that_they_prefer() {
    clock::freeze();
    for (count, servers) in [(2, 4), (28, 28), (28, 41), (100, 41), (500, 41), (30, 51)] {
        for local in [0, 1, count / 2, count - 1] {
            let (peers, backends) = vm(count, local, servers);
            let busy: Vec<_> = backends.iter().map(Backend::start_request).collect();
            let datagrams = peers.take_datagrams(clock::now());
            assert!(datagrams.len() <= 24, "{} of {count}", datagrams.len());
            assert!(!datagrams.is_empty());
            for (receiver, bytes) in datagrams {
                let receiver = usize::from(receiver.port()) - 1000;
                assert_ne!(receiver, local);
                let (other, other_backends) = vm(count, receiver, servers);
                other.receive(&bytes, clock::now()).unwrap();
                let entries = codec::decode(&bytes).unwrap().entries.len();
                let told = other_backends.iter().filter(|b| b.load(clock::now()) > 0.5);
                assert_eq!(told.count(), entries);
            }
            drop(busy);
        }
    }
}

#[test]
fn datagrams_are_due_only_after_a_change_and_not_too_often() {
    clock::freeze();
    let (peers, backends) = vm(4, 0, 4);
    assert_eq!(peers.changes.due_at(), None);
    let first = backends[0].start_request();
    assert_eq!(peers.changes.due_at(), Some(clock::now()));
    assert_eq!(peers.take_datagrams(clock::now()).len(), 3);
    let _second = backends[1].start_request();
    assert_eq!(
        peers.changes.due_at(),
        Some(clock::now() + Duration::from_millis(40))
    );
    clock::advance(Duration::from_millis(40));
    for (_, bytes) in peers.take_datagrams(clock::now()) {
        let entries = codec::decode(&bytes).unwrap().entries;
        let servers: Vec<_> = entries.iter().map(|e| e.server).collect();
        assert_eq!(servers, [backends[1].name_hash()], "only what changed");
    }
    drop(first);
    clock::advance(Duration::from_millis(100));
    assert_eq!(peers.take_datagrams(clock::now()).len(), 3);
}

/// Guards against a lost datagram that leaves a server busy or idle in the eyes of others.
#[test]
fn what_is_in_flight_or_ended_is_sent_again_each_second_until_nothing_is() {
    clock::freeze();
    let (peers, backends) = vm(4, 0, 4);
    let request = backends[0].start_request();
    peers.take_datagrams(clock::now());
    for _ in 0..3 {
        let due_at = peers.changes.due_at().unwrap();
        clock::advance(due_at.saturating_duration_since(clock::now()));
        assert_eq!(peers.take_datagrams(clock::now()).len(), 3);
    }
    drop(request);
    let mut sent = 0;
    while let Some(due_at) = peers.changes.due_at() {
        clock::advance(due_at.saturating_duration_since(clock::now()));
        sent += peers.take_datagrams(clock::now()).len() / 3;
    }
    assert_eq!(sent, 2, "the end, and once more");
}

#[test]
fn reported_load_reaches_others_without_what_they_count_themselves() {
    clock::freeze();
    let (peers, backends) = vm(2, 0, 2);
    let (other, other_backends) = vm(2, 1, 2);
    let _busy = backends[0].start_request();
    let _other_busy = other_backends[0].start_request();
    let load = ReportedLoad {
        running: 2,
        waiting: 3,
        percent: None,
    };
    clock::advance(Duration::from_millis(10));
    backends[0].record_response(None, Some(load), false);
    for (_, bytes) in peers.take_datagrams(clock::now()) {
        other.receive(&bytes, clock::now()).unwrap();
    }
    assert!((other_backends[0].load(clock::now()) - 5.0).abs() < 0.1);
}

/// Guards against changes that are recorded but never sent, and datagrams that are not read.
#[test]
fn two_vms_tell_each_other_over_sockets() {
    runtime::run(async {
        let sockets: Vec<_> = (0..2)
            .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
            .collect();
        let names = ["vm-0000", "vm-0001"];
        let vms = names.iter().zip(&sockets);
        let vms = vms.map(|(name, s)| ((*name).into(), s.local_addr().unwrap()));
        let vms: Vec<_> = vms.collect();
        let mut sides = Vec::new();
        for (local, socket) in sockets.into_iter().enumerate() {
            let peers = Rc::new(Peers::default());
            let backends = vec![backend("s00", "near")];
            let ring = Ring {
                vms: vms.clone(),
                local,
            };
            peers.configure(names[local], &ring, std::slice::from_ref(&backends));
            socket::run(socket, &peers);
            sides.push((peers, backends));
        }
        let load = |side: usize| sides[side].1[0].load(clock::now());
        let busy: Vec<_> = (0..3).map(|_| sides[0].1[0].start_request()).collect();
        wait_until(|| (load(1) - 3.0).abs() < 1e-9).await;
        let _other = sides[1].1[0].start_request();
        wait_until(|| (load(0) - 4.0).abs() < 1e-9).await;
        drop(busy);
        wait_until(|| (load(1) - 1.0).abs() < 1e-9).await;
        let counters = &sides[0].0.counters;
        assert!(counters.sent.get() > 0 && counters.received.get() > 0);
        assert_eq!(counters.malformed.get() + counters.unknown.get(), 0);
    });
}
