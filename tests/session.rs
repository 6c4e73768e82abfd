//! A full session with real processes, compared with a snapshot.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod support;

use std::fmt::Write as _;
use std::io;

use agateyoke::control::api;
use support::{Cluster, Response, cluster};

/// The parts of a response that are equal in every run.
fn summarize(response: &io::Result<Response>) -> String {
    let response = response.as_ref().unwrap();
    let server = match response.server() {
        "-" => "-",
        _ => "[server]",
    };
    format!(
        "{} verdict={} claim={} replay={} server={server}",
        response.status,
        response.verdict(),
        response.header("agateyoke-claim"),
        response.header("agateyoke-replay"),
    )
}

fn format_status(status: &api::Status) -> String {
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

/// Covers a document, lookups, claims with a replay, a changed document, a drain and the status.
#[test]
fn full_session_through_both_zones() {
    let mut cluster = Cluster::start_serving(|_| {}, &[]);
    let mut text = String::new();
    for locker in ["L-1", "L-2"] {
        let (galway, cork) = (
            cluster.lookup("entry-1", locker),
            cluster.lookup("entry-4", locker),
        );
        let _ = writeln!(text, "GET {locker} by galway: {}", summarize(&galway));
        let _ = writeln!(text, "GET {locker} by cork: {}", summarize(&cork));
        let same = galway.unwrap().server() == cork.unwrap().server();
        let _ = writeln!(text, "same owner: {same}");
    }
    for (entry, locker, claim) in [
        ("entry-2", "L-7", "claim-1"),
        ("entry-3", "L-7", "claim-1"),
        ("entry-3", "L-8", "claim-1"),
        ("entry-1", "L-8", "claim-2"),
    ] {
        let response = cluster.release(entry, locker, claim);
        let _ = writeln!(
            text,
            "release {locker} with {claim} by {entry}: {}",
            summarize(&response)
        );
    }
    let to = cluster.caller_address("entry-1");
    for (method, path) in [
        ("GET", "/nothing"),
        ("DELETE", "/lockers/L-1"),
        ("GET", "/stock"),
    ] {
        let _ = writeln!(
            text,
            "{method} {path}: {}",
            summarize(&cluster::send_request(to, method, path, None))
        );
    }
    let mut document = cluster::document();
    cluster::set_number(document.get_mut("limits").unwrap(), "queue", 77);
    for (base, change) in [(1, "second"), (1, "second"), (1, "other")] {
        let output = cluster.apply(&document, base, change);
        let (out, err) = (output.stdout, output.stderr);
        let all = String::from_utf8([out, err].concat()).unwrap();
        let _ = write!(
            text,
            "apply {change}: exit {:?}\n{all}",
            output.status.code()
        );
    }
    cluster.wait_until_serving();
    let output = cluster.run_client(&["drain", "galway-1", "--service", "kiosk-core"]);
    let _ = writeln!(text, "drain galway-1: exit {:?}", output.status.code());
    cluster::wait_until("the drain to finish", || {
        let services = cluster.status().map(|s| s.services).unwrap_or_default();
        let mut servers = services
            .iter()
            .flat_map(|s| &s.zones)
            .flat_map(|z| &z.servers);
        !services.is_empty() && !servers.any(|s| &*s.server == "galway-1" && s.spans > 0)
    });
    cluster.signal("galway-1", libc::SIGTERM);
    let exit = cluster.wait_for_exit("galway-1");
    let _ = writeln!(text, "galway-1 ended: {:?}", exit.code());
    cluster.wait_until_serving();
    text.push_str(&format_status(&cluster.status().unwrap()));
    let executions = cluster
        .executions()
        .into_iter()
        .filter_map(|r| Some(format!("{} {}", r.claim?, r.path)));
    for execution in executions {
        let _ = writeln!(text, "ran: {execution}");
    }
    insta::assert_snapshot!(text);
}
