//! `agateyoke status`: shows VMs, documents in force, owners and unrouted spans.

use argh::FromArgs;

use super::control_client::ControlClient;
use super::output;
use super::result::{CommandError, CommandOutput};
use crate::control::api;

/// Show control VMs, entry VMs, services, their owners and what is not served.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Arguments {
    /// show this service only
    #[argh(option)]
    service: Option<String>,
}

/// Runs the subcommand.
pub async fn run(
    arguments: &Arguments,
    control: &ControlClient,
) -> Result<CommandOutput, CommandError> {
    let mut status: api::Status = control.get("/v1/status").await?;
    if let Some(service) = &arguments.service {
        status.services.retain(|s| *s.service == **service);
    }
    let mut parts = vec![
        control_vm_table(&status.control),
        entry_vm_table(&status.entries),
    ];
    parts.extend(status.services.iter().map(service_section));
    Ok(CommandOutput::done(parts.join("\n\n"), &status))
}

fn control_vm_table(members: &[api::ControlVmStatus]) -> String {
    let row = |m: &api::ControlVmStatus| {
        [
            m.vm.to_string(),
            output::or_dash(m.zone.as_ref()),
            m.role.to_string(),
            m.term.to_string(),
            m.commit.to_string(),
            disk_cell(m),
        ]
    };
    let rows: Vec<[String; 6]> = members.iter().map(row).collect();
    output::table(
        ["control VM", "zone", "role", "term", "commit", "disk"],
        &rows,
    )
}

fn disk_cell(member: &api::ControlVmStatus) -> String {
    match (&member.disk_error, member.disk_bytes) {
        (Some(fault), _) => format!("FAULT: {fault}"),
        (None, Some(bytes)) => format!("{} KiB", bytes.div_ceil(1024)),
        (None, None) => "-".to_owned(),
    }
}

fn entry_vm_table(entries: &[api::EntryVmStatus]) -> String {
    let row = |e: &api::EntryVmStatus| {
        [
            e.vm.to_string(),
            e.zone.to_string(),
            e.index.to_string(),
            format!("{} ms ago", e.since_contact_ms),
            text_or_dash(e.stopping, "stopping"),
        ]
    };
    if entries.is_empty() {
        return "no entry VM has been heard of".to_owned();
    }
    let rows: Vec<[String; 5]> = entries.iter().map(row).collect();
    output::table(
        ["entry VM", "zone", "has log up to", "heard", "state"],
        &rows,
    )
}

fn service_section(service: &api::ServiceStatus) -> String {
    let mut lines = vec![format!(
        "service {}: version {}, change {}, {}",
        service.service,
        service.version,
        service.change,
        in_force_summary(service)
    )];
    if service.zones.is_empty() {
        lines.push("no availability zone has a part of its keys".to_owned());
    } else {
        lines.push(zone_table(&service.zones));
        lines.push(server_table(&service.zones));
    }
    for unrouted in &service.unrouted {
        let share = format!("{}.{} %", unrouted.permille / 10, unrouted.permille % 10);
        let zone = output::or_dash(unrouted.zone.as_ref());
        let (spans, reason) = (unrouted.spans, &unrouted.reason);
        lines.push(format!(
            "DARK: {share} of its keys, {spans} spans, zone {zone}: {reason}"
        ));
    }
    lines.join("\n")
}

fn in_force_summary(service: &api::ServiceStatus) -> String {
    let all = u64::from(service.in_force).saturating_add(service.lagging.len() as u64);
    let reached = format!("in force at {} of {all} entry VMs", service.in_force);
    if service.lagging.is_empty() {
        return reached;
    }
    format!("{reached}, not at {}", service.lagging.join(", "))
}

fn zone_table(zones: &[api::ZoneStatus]) -> String {
    let row = |z: &api::ZoneStatus| {
        [
            z.zone.to_string(),
            z.primary.to_string(),
            z.epoch.to_string(),
            z.spans.to_string(),
            z.renewed_ms
                .map_or_else(|| "-".to_owned(), |ms| format!("{ms} ms ago")),
        ]
    };
    let rows: Vec<[String; 5]> = zones.iter().map(row).collect();
    output::table(["zone", "carrier", "epoch", "spans", "renewed"], &rows)
}

fn server_table(zones: &[api::ZoneStatus]) -> String {
    let row = |z: &api::ZoneStatus, s: &api::ServerStatus| {
        [
            s.server.to_string(),
            z.zone.to_string(),
            s.address.to_string(),
            s.slots.to_string(),
            s.spans.to_string(),
            text_or_dash(s.checks, "yes"),
            server_state(s),
        ]
    };
    let all = zones
        .iter()
        .flat_map(|z| z.servers.iter().map(move |s| row(z, s)));
    let rows: Vec<[String; 7]> = all.collect();
    let head = [
        "server", "zone", "address", "slots", "spans", "checks", "state",
    ];
    output::table(head, &rows)
}

fn server_state(server: &api::ServerStatus) -> String {
    match () {
        () if !server.alive => "lost".to_owned(),
        () => text_or_dash(server.draining, "draining"),
    }
}

fn text_or_dash(is_set: bool, text: &str) -> String {
    if is_set {
        text.to_owned()
    } else {
        "-".to_owned()
    }
}
