//! Sessions of the operators' client against fake VMs.

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

/// Reaction of a fake VM to one request.
enum FakeResponse {
    /// Responds with a status and a body.
    Respond(u16, String),
    /// Reads the request and closes the connection without a response.
    Close,
}

/// Fake of a VM's operator port; accepts one request for each of its responses.
struct FakeVm {
    address: SocketAddr,
    thread: JoinHandle<Vec<String>>,
}

impl FakeVm {
    fn start(responses: Vec<FakeResponse>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let serve = move |response| {
            let (stream, _) = listener.accept().unwrap();
            handle_request(stream, response)
        };
        let thread = thread::spawn(move || responses.into_iter().map(serve).collect());
        Self { address, thread }
    }

    /// The received requests; waits until every response was used.
    fn requests(self) -> Vec<String> {
        // Unblocks a thread that still waits in `accept`.
        let _ = TcpStream::connect(self.address);
        self.thread.join().unwrap()
    }
}

/// Reads and handles one request; returns its first line, change id and base version.
fn handle_request(mut stream: TcpStream, response: FakeResponse) -> String {
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
    if let FakeResponse::Respond(status, body) = response {
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

fn json_response<T>(status: u16, body: &T) -> FakeResponse
where
    T: Serialize,
{
    FakeResponse::Respond(status, serde_json::to_string(body).unwrap())
}

fn rota_document() -> Document {
    document::check(include_str!("check/right.json")).unwrap()
}

/// Version of the document; its queue length depends on the version number.
fn document_entry(version: u64) -> store::DocumentVersion {
    let mut document = rota_document();
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

fn accepted_response(version: u64, repeated: bool) -> FakeResponse {
    let accepted = api::ApplyResponse {
        version,
        index: version * 10,
        duplicate: repeated,
        dry_run: false,
    };
    json_response(200, &accepted)
}

/// Runs the client once for each command line; returns the transcript with replaced addresses.
fn run_session(control: &[SocketAddr], commands: &[&str]) -> String {
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
fn documents_are_applied_shown_compared_and_rolled_back() {
    let show = |version| {
        let response = api::DocumentResponse {
            requested: document_entry(version),
            current: 3,
        };
        json_response(200, &response)
    };
    let versions = (1..=3).rev().map(|v| (&document_entry(v)).into()).collect();
    let control = FakeVm::start(vec![
        accepted_response(3, false),
        show(3),
        json_response(200, &api::History { versions }),
        show(3),
        show(1),
        show(3),
        show(1),
        accepted_response(4, false),
    ]);
    let commands = [
        "apply right.json --base 2 --change c-7",
        "show rota",
        "history rota",
        "diff rota right.json",
        "diff rota 1 3",
        "rollback rota --to 1 --change c-8 --author ines",
    ];
    let mut session = run_session(&[control.address], &commands);
    session.push_str(&control.requests().join("\n"));
    insta::assert_snapshot!(session);
}

#[test]
fn conflict_shows_author_difference_and_next_step() {
    let (base, current) = (document_entry(2), document_entry(4));
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
    let responses = vec![json_response(409, &conflict), json_response(409, &reused)];
    let control = FakeVm::start(responses);
    let commands = [
        "apply right.json --base 2 --change c-7",
        "apply right.json --base 4 --change c-7",
    ];
    insta::assert_snapshot!(run_session(&[control.address], &commands));
}

/// The first control VM closes the connection without a response, the second names the leader.
#[test]
fn change_without_a_response_is_retried_with_the_same_id() {
    let leader = FakeVm::start(vec![accepted_response(5, true)]);
    let not_leader = api::NotLeader {
        leader: Some(leader.address),
    };
    let second = FakeVm::start(vec![json_response(503, &not_leader)]);
    let first = FakeVm::start(vec![FakeResponse::Close]);
    let addresses = [first.address, second.address];
    let mut session = run_session(&addresses, &["apply right.json --base 4 --change c-9"]);
    for vm in [first, second, leader] {
        let _ = writeln!(session, "{}", vm.requests().join("\n"));
    }
    insta::assert_snapshot!(session);
}

#[test]
fn unknown_outcome_is_reported_as_neither_done_nor_failed() {
    let failed = || FakeResponse::Respond(500, "broken".to_owned());
    let unknown = api::ErrorResponse {
        error: "no quorum in time".into(),
        may_have_run: true,
    };
    let lost = FakeVm::start((0..5).map(|_| FakeResponse::Close).collect());
    let then_failed = FakeVm::start(vec![FakeResponse::Close, failed()]);
    let unreadable = FakeVm::start(vec![FakeResponse::Respond(200, "{".to_owned())]);
    let unknown = FakeVm::start(
        (0..5)
            .map(|i| json_response(503 + i % 2, &unknown))
            .collect(),
    );
    let mut sessions = String::new();
    for vm in [lost, then_failed, unreadable, unknown] {
        let command = "apply right.json --base 4 --change c-9 --author ines";
        sessions.push_str(&run_session(&[vm.address], &[command]));
        let _ = writeln!(sessions, "{} requests\n", vm.requests().len());
    }
    insta::assert_snapshot!(sessions);
}

#[test]
fn undelivered_change_is_reported_as_not_done() {
    let address = "127.0.0.1:9".parse().unwrap();
    let commands = ["apply right.json --base 4", "history rota"];
    insta::assert_snapshot!(run_session(&[address], &commands));
}

#[test]
fn status_lists_lagging_vms_and_unrouted_spans() {
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
    let unrouted = api::UnroutedSpans {
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
        unrouted: vec![unrouted],
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
    let not_found = api::ErrorResponse {
        error: "no server k-9 of kiosk-core".into(),
        may_have_run: false,
    };
    let control = FakeVm::start(vec![
        json_response(200, &status),
        json_response(200, &draining),
        json_response(404, &not_found),
    ]);
    let commands = [
        "status",
        "drain k-2 --service kiosk-core",
        "drain k-9 --service kiosk-core",
    ];
    insta::assert_snapshot!(run_session(&[control.address], &commands));
}

#[test]
fn events_and_metrics_of_all_vms_are_merged() {
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
    let entry = FakeVm::start(vec![
        json_response(
            200,
            &api::Timeline {
                events: entry_events,
            },
        ),
        FakeResponse::Respond(200, metrics(7)),
    ]);
    let second = FakeVm::start(vec![
        json_response(
            200,
            &api::Timeline {
                events: control_events,
            },
        ),
        FakeResponse::Respond(200, metrics(8)),
    ]);
    let vms = api::Vms {
        vms: vec![
            vm("control-1", Some(second.address)),
            vm("entry-1", Some(entry.address)),
            vm("entry-2", None),
        ],
    };
    let control = FakeVm::start(vec![json_response(200, &vms), json_response(200, &vms)]);
    let commands = ["timeline --service rota", "metrics --name requests"];
    insta::assert_snapshot!(run_session(&[control.address], &commands));
}
