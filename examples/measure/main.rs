//! Computes the figures of one run of `scripts/measure.sh`.
//!
//! It reads what the backend servers recorded (`*.ran`, `*.refused`) and what
//! callers were told (`*.trace`), and prints one JSON object. What the router
//! believes plays no part.

mod figures;
mod files;
mod options;
#[cfg(test)]
mod tests;

use std::io;
use std::process::ExitCode;

use figures::Figures;
use files::Files;
use options::Options;

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
    let files = Files::read(&options.folder)?;
    serde_json::to_string(&Figures::new(options, &files)).map_err(io::Error::other)
}
