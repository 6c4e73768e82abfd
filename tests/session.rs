//! One whole session with real processes, as a golden file.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod support;

use std::fmt::Write as _;
use std::io;

use agateyoke::control::api;
use support::{Fleet, Reply, fleet};

/// What does not differ between runs.
fn shown(reply: &io::Result<Reply>) -> String {
    let reply = reply.as_ref().unwrap();
    let server = match reply.server() {
        "-" => "-",
        _ => "[server]",
    };
    format!(
        "{} verdict={} claim={} replay={} server={server}",
        reply.status,
        reply.verdict(),
        reply.header("agateyoke-claim"),
        reply.header("agateyoke-replay"),
    )
}

fn status(status: &api::Status) -> String {
    let mut text = String::new();
    let leaders = status.control.iter().filter(|m| &*m.role == "leader");
    let (members, leaders) = (status.control.len(), leaders.count());
    let _ = writeln!(text, "control VMs: {members}, leaders: {leaders}");
    for entry in &status.entries {
        let _ = writeln!(
            text,
            "{} of {}, stopping: {}",
            entry.vm, entry.zone, entry.stopping
        );
    }
    for service in &status.services {
        let _ = writeln!(
            text,
            "{} version {} by {}, in force at {}, lagging: {:?}, dark: {}",
            service.service,
            service.version,
            service.change,
            service.in_force,
            service.lagging,
            service.unrouted.len()
        );
        let spans: u64 = service.zones.iter().map(|z| z.spans).sum();
        let _ = writeln!(text, "spans of all zones: {spans}");
        for zone in &service.zones {
            let mut servers: Vec<_> = zone.servers.iter().filter(|s| s.spans > 0).collect();
            servers.sort_by(|a, b| a.server.cmp(&b.server));
            let names: Vec<_> = servers.iter().map(|s| &*s.server).collect();
            let _ = writeln!(text, "{} serves by {names:?}", zone.zone);
        }
    }
    text
}

/// Document, lookups, claims and a replay, change, drain, and the status.
#[test]
fn a_whole_session_through_both_zones() {
    let mut fleet = Fleet::serving(|_| {}, &[]);
    let mut text = String::new();
    for locker in ["L-1", "L-2"] {
        let (one, other) = (fleet.look("entry-1", locker), fleet.look("entry-4", locker));
        let _ = writeln!(text, "GET {locker} by galway: {}", shown(&one));
        let _ = writeln!(text, "GET {locker} by cork: {}", shown(&other));
        let same = one.unwrap().server() == other.unwrap().server();
        let _ = writeln!(text, "same owner: {same}");
    }
    for (entry, locker, claim) in [
        ("entry-2", "L-7", "claim-1"),
        ("entry-3", "L-7", "claim-1"),
        ("entry-3", "L-8", "claim-1"),
        ("entry-1", "L-8", "claim-2"),
    ] {
        let reply = fleet.release(entry, locker, claim);
        let _ = writeln!(
            text,
            "release {locker} with {claim} by {entry}: {}",
            shown(&reply)
        );
    }
    let to = fleet.callers("entry-1");
    for (method, path) in [
        ("GET", "/nothing"),
        ("DELETE", "/lockers/L-1"),
        ("GET", "/stock"),
    ] {
        let _ = writeln!(
            text,
            "{method} {path}: {}",
            shown(&fleet::send(to, method, path, None))
        );
    }
    let mut document = fleet::document();
    fleet::set(document.get_mut("limits").unwrap(), "queue", 77);
    for (base, change) in [(1, "second"), (1, "second"), (1, "other")] {
        let output = fleet.apply(&document, base, change);
        let (out, err) = (output.stdout, output.stderr);
        let all = String::from_utf8([out, err].concat()).unwrap();
        let _ = write!(
            text,
            "apply {change}: exit {:?}\n{all}",
            output.status.code()
        );
    }
    fleet.settled();
    let output = fleet.client(&["drain", "galway-1", "--service", "kiosk-core"]);
    let _ = writeln!(text, "drain galway-1: exit {:?}", output.status.code());
    fleet::until("the drain", || {
        let services = fleet.status().map(|s| s.services).unwrap_or_default();
        let mut servers = services
            .iter()
            .flat_map(|s| &s.zones)
            .flat_map(|z| &z.servers);
        !services.is_empty() && !servers.any(|s| &*s.server == "galway-1" && s.spans > 0)
    });
    fleet.signal("galway-1", libc::SIGTERM);
    let end = fleet.ended("galway-1");
    let _ = writeln!(text, "galway-1 ended: {:?}", end.code());
    fleet.settled();
    text.push_str(&status(&fleet.status().unwrap()));
    let ran = fleet
        .runs()
        .into_iter()
        .filter_map(|r| Some(format!("{} {}", r.claim?, r.path)));
    for run in ran {
        let _ = writeln!(text, "ran: {run}");
    }
    insta::assert_snapshot!(text);
}
