//! `agateyoke metrics`: the counters of all processes side by side.

use argh::FromArgs;
use serde::Serialize;
use serde_json::json;
use std::sync::Arc;

use super::answer::{Answer, Failure};
use super::control::Control;
use super::output;
use super::vms;

/// Show the metrics of all VMs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "metrics")]
pub struct Arguments {
    /// only metrics whose name starts so
    #[argh(option)]
    name: Option<String>,
    /// operator addresses of the VMs to ask, split by commas; else all VMs
    #[argh(option)]
    vms: Option<String>,
}

/// One value of a metric.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Sample {
    vm: Arc<str>,
    /// Name with its labels.
    metric: Arc<str>,
    value: Arc<str>,
}

/// Runs the subcommand.
pub async fn run(arguments: &Arguments, control: &Control) -> Result<Answer, Failure> {
    let targets = vms::targets(control, arguments.vms.as_deref()).await?;
    let answers = vms::get_all(targets, "/metrics").await?;
    let mut samples = Vec::new();
    for answered in &answers.replies {
        let text = String::from_utf8_lossy(&answered.reply.body);
        samples.extend(read(&answered.vm, &text));
    }
    let prefix = arguments.name.as_deref().unwrap_or_default();
    samples.retain(|s| s.metric.starts_with(prefix));
    samples.sort_by(|a, b| (&a.metric, &a.vm).cmp(&(&b.metric, &b.vm)));
    let row = |s: &Sample| [&s.metric, &s.vm, &s.value].map(ToString::to_string);
    let rows: Vec<[String; 3]> = samples.iter().map(row).collect();
    let text = output::table(["metric", "vm", "value"], &rows);
    let json = json!({ "samples": samples, "missing": answers.missing_names() });
    Ok(Answer::done(text, &json).noting(answers.note()))
}

/// The samples of one process; comments are passed over.
fn read(vm: &Arc<str>, text: &str) -> Vec<Sample> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let split = |line: &str| {
        // Labels may hold spaces, and a timestamp is never written, so the last space counts.
        let (metric, value) = line.rsplit_once(' ')?;
        Some(Sample {
            vm: Arc::clone(vm),
            metric: metric.into(),
            value: value.into(),
        })
    };
    lines.filter_map(split).collect()
}
