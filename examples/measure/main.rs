//! Computes the metrics of one run of `scripts/measure.sh`.
//!
//! The input is what the backend servers recorded (`*.ran`, `*.refused`) and what callers received
//! (`*.trace`); the output is one JSON object. State reported by the router itself is not used.

mod metrics;
mod options;
mod records;
#[cfg(test)]
mod tests;

use std::io;
use std::process::ExitCode;

use metrics::Metrics;
use options::Options;
use records::Records;

fn main() -> ExitCode {
    match measure(&argh::from_env()) {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(options: &Options) -> io::Result<String> {
    let records = Records::read(&options.directory)?;
    serde_json::to_string(&Metrics::new(options, &records)).map_err(io::Error::other)
}
