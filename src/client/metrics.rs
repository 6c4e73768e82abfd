//! `agateyoke metrics`: shows the metrics of all processes.

use argh::FromArgs;
use serde::Serialize;
use serde_json::json;
use std::sync::Arc;

use super::control_client::ControlClient;
use super::output;
use super::result::{CommandError, CommandOutput};
use super::vms;

/// Show the metrics of all VMs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "metrics")]
pub struct Arguments {
    /// only metrics whose name starts with this text
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
    /// Name of the metric with its labels.
    metric: Arc<str>,
    value: Arc<str>,
}

/// Runs the subcommand.
pub async fn run(
    arguments: &Arguments,
    control: &ControlClient,
) -> Result<CommandOutput, CommandError> {
    let targets = vms::targets(control, arguments.vms.as_deref()).await?;
    let responses = vms::get_all(targets, "/metrics").await?;
    let mut samples = Vec::new();
    for vm_response in &responses.received {
        let text = String::from_utf8_lossy(&vm_response.response.body);
        samples.extend(parse_samples(&vm_response.vm, &text));
    }
    let prefix = arguments.name.as_deref().unwrap_or_default();
    samples.retain(|s| s.metric.starts_with(prefix));
    samples.sort_by(|a, b| (&a.metric, &a.vm).cmp(&(&b.metric, &b.vm)));
    let row = |s: &Sample| [&s.metric, &s.vm, &s.value].map(ToString::to_string);
    let rows: Vec<[String; 3]> = samples.iter().map(row).collect();
    let text = output::table(["metric", "vm", "value"], &rows);
    let json = json!({ "samples": samples, "missing": responses.missing_names() });
    Ok(CommandOutput::done(text, &json).with_note(responses.note()))
}

/// Parses the samples of one process, without comments.
fn parse_samples(vm: &Arc<str>, text: &str) -> Vec<Sample> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let split = |line: &str| {
        // Labels may contain spaces, but there are no timestamps: the last space separates the value.
        let (metric, value) = line.rsplit_once(' ')?;
        Some(Sample {
            vm: Arc::clone(vm),
            metric: metric.into(),
            value: value.into(),
        })
    };
    lines.filter_map(split).collect()
}
