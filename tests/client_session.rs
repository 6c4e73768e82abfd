//! Sessions of the operators' client against small fakes of the VMs.

#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a test fails by a panic"
)]

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use agateyoke::control::api;
use agateyoke::document::{self, Document, diff, store};
use agateyoke::timeline::{Event, Timestamp};
use serde::Serialize;

/// What a fake does with one request.
enum Step {
    /// Answers with a status and a body.
    Answer(u16, String),
    /// Reads the request and closes the connection without an answer.
    Lose,
}

/// A fake of a VM's operator port; takes one request for each step.
struct Fake {
    address: SocketAddr,
    thread: JoinHandle<Vec<String>>,
}

impl Fake {
    fn start(steps: Vec<Step>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let serve = move |step| {
            let (stream, _) = listener.accept().unwrap();
            answer(stream, step)
        };
        let thread = thread::spawn(move || steps.into_iter().map(serve).collect());
        Self { address, thread }
    }

    /// The requests that came, once every step was taken.
    fn requests(self) -> Vec<String> {
        // Ends a thread that still waits, as this is no request.
        let _ = TcpStream::connect(self.address);
        self.thread.join().unwrap()
    }
}

/// Reads one request, answers it, and returns its first line and its change id.
fn answer(mut stream: TcpStream, step: Step) -> String {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_ascii_lowercase()),
        }
    }
    let length = lines
        .iter()
        .find_map(|l| l.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |l| l.parse().unwrap())];
    reader.read_exact(&mut body).unwrap();
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    if let Step::Answer(status, body) = step {
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).unwrap();
    }
    match body.get("change") {
        Some(change) => format!("{} change {change} base {}", lines[0], body["base"]),
        None => lines[0].clone(),
    }
}

fn reply<T>(status: u16, body: &T) -> Step
where
    T: Serialize,
{
    Step::Answer(status, serde_json::to_string(body).unwrap())
}

fn rota() -> Document {
    document::check(include_str!("check/right.json")).unwrap()
}

/// Version of the document in which the queue is as long as the version's number says.
fn entry(version: u64) -> store::DocumentVersion {
    let mut document = rota();
    document.limits.queue = 30 + u32::try_from(version).unwrap();
    store::DocumentVersion {
        version,
        index: version * 10,
        change: format!("change-{version}").into(),
        author: "marisol".into(),
        at_ms: 1_772_355_600_000 + version * 1000,
        document,
    }
}

fn accepted(version: u64, repeated: bool) -> Step {
    let accepted = api::ApplyResponse {
        version,
        index: version * 10,
        duplicate: repeated,
        dry_run: false,
    };
    reply(200, &accepted)
}

/// Runs the client once for each command line and writes the session down.
fn session(control: &[SocketAddr], commands: &[&str]) -> String {
    let control: Vec<String> = control.iter().map(ToString::to_string).collect();
    let mut session = String::new();
    for command in commands {
        let output = Command::new(env!("CARGO_BIN_EXE_agateyoke"))
            .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/check"))
            .env("AGATEYOKE_CONTROL", control.join(","))
            .env("USER", "elena")
            .args(command.split(' '))
            .output()
            .unwrap();
        let (out, err) = (&output.stdout, &output.stderr);
        let (out, err) = (String::from_utf8_lossy(out), String::from_utf8_lossy(err));
        let code = output.status.code().unwrap();
        let _ = write!(session, "$ agateyoke {command}\n{out}{err}exit {code}\n\n");
    }
    for (i, address) in control.iter().enumerate() {
        session = session.replace(address, &format!("[control-{}]", i + 1));
    }
    session
}

#[test]
fn a_change_is_made_and_looked_at() {
    let shown = |version| {
        let answer = api::DocumentResponse {
            requested: entry(version),
            current: 3,
        };
        reply(200, &answer)
    };
    let versions = (1..=3).rev().map(|v| (&entry(v)).into()).collect();
    let control = Fake::start(vec![
        accepted(3, false),
        shown(3),
        reply(200, &api::History { versions }),
        shown(3),
        shown(1),
        shown(3),
        shown(1),
        accepted(4, false),
    ]);
    let commands = [
        "apply right.json --base 2 --change c-7",
        "show rota",
        "history rota",
        "diff rota right.json",
        "diff rota 1 3",
        "rollback rota --to 1 --change c-8 --author ines",
    ];
    let mut session = session(&[control.address], &commands);
    session.push_str(&control.requests().join("\n"));
    insta::assert_snapshot!(session);
}

#[test]
fn a_conflict_says_who_changed_what_and_how_to_go_on() {
    let (base, current) = (entry(2), entry(4));
    let conflict = api::Conflict {
        base: 2,
        version: 4,
        change: current.change,
        author: current.author,
        since: Some(diff::diff(&base.document, &current.document)),
        current: Some(current.document),
    };
    let reused = api::ChangeIdReused {
        change: "c-7".into(),
    };
    let steps = vec![reply(409, &conflict), reply(409, &reused)];
    let control = Fake::start(steps);
    let commands = [
        "apply right.json --base 2 --change c-7",
        "apply right.json --base 4 --change c-7",
    ];
    insta::assert_snapshot!(session(&[control.address], &commands));
}

/// The first control VM loses the answer, the second names the leader.
#[test]
fn a_lost_answer_is_asked_for_again_with_the_same_id() {
    let leader = Fake::start(vec![accepted(5, true)]);
    let not_leader = api::NotLeader {
        leader: Some(leader.address),
    };
    let second = Fake::start(vec![reply(503, &not_leader)]);
    let first = Fake::start(vec![Step::Lose]);
    let addresses = [first.address, second.address];
    let mut session = session(&addresses, &["apply right.json --base 4 --change c-9"]);
    for fake in [first, second, leader] {
        let _ = writeln!(session, "{}", fake.requests().join("\n"));
    }
    insta::assert_snapshot!(session);
}

#[test]
fn what_is_not_known_is_not_called_done_or_failed() {
    let failed = || Step::Answer(500, "broken".to_owned());
    let unsure = api::ErrorResponse {
        error: "no quorum in time".into(),
        may_have_run: true,
    };
    let lost = Fake::start((0..5).map(|_| Step::Lose).collect());
    let then_failed = Fake::start(vec![Step::Lose, failed()]);
    let unreadable = Fake::start(vec![Step::Answer(200, "{".to_owned())]);
    let unsure = Fake::start((0..5).map(|i| reply(503 + i % 2, &unsure)).collect());
    let mut text = String::new();
    for fake in [lost, then_failed, unreadable, unsure] {
        let command = "apply right.json --base 4 --change c-9 --author ines";
        text.push_str(&session(&[fake.address], &[command]));
        let _ = writeln!(text, "{} requests\n", fake.requests().len());
    }
    insta::assert_snapshot!(text);
}

#[test]
fn what_nobody_took_is_not_done() {
    let address = "127.0.0.1:9".parse().unwrap();
    let commands = ["apply right.json --base 4", "history rota"];
    insta::assert_snapshot!(session(&[address], &commands));
}

#[test]
fn the_status_names_what_lags_and_what_is_dark() {
    let member = |vm: &str, role: &str, disk_fault: Option<&str>| api::ControlVmStatus {
        vm: vm.into(),
        zone: Some("cork".into()),
        role: role.into(),
        term: 7,
        commit: 1234,
        disk_bytes: Some(70_000),
        disk_error: disk_fault.map(Arc::from),
    };
    let server = |name: &str, draining: bool| api::ServerStatus {
        server: name.into(),
        address: "127.0.0.1:9001".parse().unwrap(),
        checks: !draining,
        slots: 6,
        spans: 64,
        alive: true,
        draining,
    };
    let zone = api::ZoneStatus {
        zone: "cork".into(),
        primary: "entry-3".into(),
        epoch: 12,
        spans: 128,
        renewed_ms: Some(80),
        servers: vec![server("k-1", false), server("k-2", true)],
    };
    let dark = api::UnroutedSpans {
        zone: Some("galway".into()),
        spans: 128,
        permille: 500,
        reason: "no backend server has announced itself".into(),
    };
    let service = api::ServiceStatus {
        service: "kiosk-core".into(),
        version: 3,
        change: "change-3".into(),
        index: 30,
        in_force: 3,
        lagging: vec!["entry-4".into()],
        zones: vec![zone],
        unrouted: vec![dark],
    };
    let entry = api::EntryVmStatus {
        vm: "entry-4".into(),
        zone: "cork".into(),
        index: 29,
        since_contact_ms: 5200,
        stopping: true,
    };
    let status = api::Status {
        control: vec![
            member("control-1", "leader", None),
            member("control-2", "follower", Some("checksum at 4711")),
        ],
        entries: vec![entry],
        services: vec![service],
    };
    let draining = api::DrainResponse {
        service: "kiosk-core".into(),
        server: "k-2".into(),
        spans: 64,
    };
    let none = api::ErrorResponse {
        error: "no server k-9 of kiosk-core".into(),
        may_have_run: false,
    };
    let control = Fake::start(vec![
        reply(200, &status),
        reply(200, &draining),
        reply(404, &none),
    ]);
    let commands = [
        "status",
        "drain k-2 --service kiosk-core",
        "drain k-9 --service kiosk-core",
    ];
    insta::assert_snapshot!(session(&[control.address], &commands));
}

#[test]
fn events_and_metrics_of_all_vms_are_put_together() {
    let event = |kind: &str, vm: &str, seq, wall_ms, counter| Event {
        timestamp: Timestamp { wall_ms, counter },
        seq,
        vm: Some(vm.into()),
        ..Event::new(kind).service(&"rota".into())
    };
    let entry_events = vec![
        event("route.taken", "entry-1", 1, 2000, 3),
        event("grant.given", "entry-1", 2, 2001, 0),
    ];
    let other = Event::new("document.accepted").service(&"archive".into());
    let control_events = vec![event("delegation.made", "control-1", 1, 2000, 2), other];
    let vm = |vm: &str, operator| api::VmInfo {
        vm: vm.into(),
        zone: "cork".into(),
        role: api::Role::Entry,
        operator,
    };
    let metrics = |n: u32| format!("# HELP a b\nrequests_total{{rank=\"a b\"}} {n}\nup 1\n# EOF\n");
    let entry = Fake::start(vec![
        reply(
            200,
            &api::Timeline {
                events: entry_events,
            },
        ),
        Step::Answer(200, metrics(7)),
    ]);
    let second = Fake::start(vec![
        reply(
            200,
            &api::Timeline {
                events: control_events,
            },
        ),
        Step::Answer(200, metrics(8)),
    ]);
    let vms = api::Vms {
        vms: vec![
            vm("control-1", Some(second.address)),
            vm("entry-1", Some(entry.address)),
            vm("entry-2", None),
        ],
    };
    let control = Fake::start(vec![reply(200, &vms), reply(200, &vms)]);
    let commands = ["timeline --service rota", "metrics --name requests"];
    insta::assert_snapshot!(session(&[control.address], &commands));
}
