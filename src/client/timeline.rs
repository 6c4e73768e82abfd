//! `agateyoke timeline`: the events of all processes in one order.
//!
//! Stamps of the hybrid logical clock order an effect after its cause; VM and
//! position settle the rest, so the order is the same every time.

use std::time::Duration;

use argh::FromArgs;
use serde_json::json;

use super::answer::{Answer, Failure};
use super::control::{self, Control};
use super::output;
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
    /// only events of this last time, such as 30s, 10m or 2h
    #[argh(option, from_str_fn(duration))]
    since: Option<Duration>,
    /// operator addresses of the VMs to ask, split by commas; else all VMs
    #[argh(option)]
    vms: Option<String>,
}

/// Runs the subcommand.
pub async fn run(arguments: &Arguments, control: &Control) -> Result<Answer, Failure> {
    let targets = vms::targets(control, arguments.vms.as_deref()).await?;
    let answers = vms::get_all(targets, "/v1/timeline?after=0").await?;
    let mut events = Vec::new();
    for answered in &answers.replies {
        events.extend(control::parse::<api::Timeline>(&answered.reply)?.events);
    }
    let now_ms = clock::wall_ms();
    events.retain(|event| arguments.wants(event, now_ms));
    merge(&mut events);
    let lines: Vec<String> = events.iter().map(line).collect();
    let json = json!({ "events": events, "missing": answers.missing_names() });
    Ok(Answer::done(lines.join("\n"), &json).noting(answers.note()))
}

/// Puts the events of several processes into one order.
pub fn merge(events: &mut [Event]) {
    events.sort_by(|a, b| (a.timestamp, &a.vm, a.seq).cmp(&(b.timestamp, &b.vm, b.seq)));
}

fn line(event: &Event) -> String {
    format!(
        "{} {}",
        output::utc(event.timestamp.wall_ms),
        event.log_line()
    )
}

impl Arguments {
    fn wants(&self, event: &Event, now_ms: u64) -> bool {
        let hash = self.key.as_deref().map(keys::hash);
        let oldest_ms = self
            .since
            .map_or(0, |s| now_ms.saturating_sub(clock::as_ms(s)));
        let fits = |wanted: &Option<String>, found: Option<&str>| {
            wanted.as_deref().is_none_or(|w| found == Some(w))
        };
        fits(&self.service, event.service.as_deref())
            && fits(&self.server, event.server.as_deref())
            && fits(&self.change, event.change.as_deref())
            && hash.is_none_or(|h| event.span.is_some_and(|s| s.contains(h)))
            && event.timestamp.wall_ms >= oldest_ms
    }
}

/// Reads a duration such as 30s, 10m or 2h.
fn duration(text: &str) -> Result<Duration, String> {
    let wrong = || format!("found {text:?}, allowed: a time such as 30s, 10m or 2h");
    let units = [("s", 1), ("m", 60), ("h", 3600)];
    let unit = units.into_iter().find(|(unit, _)| text.ends_with(unit));
    let (unit, seconds) = unit.ok_or_else(wrong)?;
    let count: u64 = text.trim_end_matches(unit).parse().map_err(|_| wrong())?;
    let seconds = count.checked_mul(seconds).ok_or_else(wrong)?;
    Ok(Duration::from_secs(seconds))
}
