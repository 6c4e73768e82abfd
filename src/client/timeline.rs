//! `agateyoke timeline`: shows the events of all processes in one order.
//!
//! Timestamps of the hybrid logical clock order an effect after its cause; ties
//! are broken by VM and sequence number, so the order is deterministic.

use std::time::Duration;

use argh::FromArgs;
use serde_json::json;

use super::control_client::{self, ControlClient};
use super::output;
use super::result::{CommandError, CommandOutput};
use super::vms;
use crate::clock;
use crate::control::api;
use crate::keys;
use crate::timeline::Event;

/// Show the events of all processes, each effect after its cause.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct Arguments {
    /// only events of this service
    #[argh(option)]
    service: Option<String>,
    /// only events of this backend server
    #[argh(option)]
    server: Option<String>,
    /// only events of spans that hold this key
    #[argh(option)]
    key: Option<String>,
    /// only events of this change of a document
    #[argh(option)]
    change: Option<String>,
    /// only events not older than this, such as 30s, 10m or 2h
    #[argh(option, from_str_fn(parse_duration))]
    since: Option<Duration>,
    /// operator addresses of the VMs to ask, split by commas; else all VMs
    #[argh(option)]
    vms: Option<String>,
}

/// Runs the subcommand.
pub async fn run(
    arguments: &Arguments,
    control: &ControlClient,
) -> Result<CommandOutput, CommandError> {
    let targets = vms::targets(control, arguments.vms.as_deref()).await?;
    let responses = vms::get_all(targets, "/v1/timeline?after=0").await?;
    let mut events = Vec::new();
    for vm_response in &responses.received {
        events.extend(control_client::parse::<api::Timeline>(&vm_response.response)?.events);
    }
    let now_ms = clock::wall_ms();
    events.retain(|event| arguments.matches(event, now_ms));
    sort(&mut events);
    let lines: Vec<String> = events.iter().map(event_line).collect();
    let json = json!({ "events": events, "missing": responses.missing_names() });
    Ok(CommandOutput::done(lines.join("\n"), &json).with_note(responses.note()))
}

/// Sorts the events of several processes by timestamp, VM and sequence number.
pub fn sort(events: &mut [Event]) {
    events.sort_by(|a, b| (a.timestamp, &a.vm, a.seq).cmp(&(b.timestamp, &b.vm, b.seq)));
}

fn event_line(event: &Event) -> String {
    format!(
        "{} {}",
        output::format_utc(event.timestamp.wall_ms),
        event.log_line()
    )
}

impl Arguments {
    fn matches(&self, event: &Event, now_ms: u64) -> bool {
        let hash = self.key.as_deref().map(keys::hash);
        let oldest_ms = self
            .since
            .map_or(0, |s| now_ms.saturating_sub(clock::as_ms(s)));
        let is_match = |wanted: &Option<String>, found: Option<&str>| {
            wanted.as_deref().is_none_or(|w| found == Some(w))
        };
        is_match(&self.service, event.service.as_deref())
            && is_match(&self.server, event.server.as_deref())
            && is_match(&self.change, event.change.as_deref())
            && hash.is_none_or(|h| event.span.is_some_and(|s| s.contains(h)))
            && event.timestamp.wall_ms >= oldest_ms
    }
}

/// Parses a duration such as 30s, 10m or 2h.
fn parse_duration(text: &str) -> Result<Duration, String> {
    let error = || format!("found {text:?}, allowed: a time such as 30s, 10m or 2h");
    let units = [("s", 1), ("m", 60), ("h", 3600)];
    let unit = units.into_iter().find(|(unit, _)| text.ends_with(unit));
    let (unit, seconds) = unit.ok_or_else(error)?;
    let count: u64 = text.trim_end_matches(unit).parse().map_err(|_| error())?;
    let seconds = count.checked_mul(seconds).ok_or_else(error)?;
    Ok(Duration::from_secs(seconds))
}
