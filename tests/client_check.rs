//! `agateyoke check` as operators run it, over the documents of `tests/check`.

#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a test fails by a panic"
)]

use std::fmt::Write;
use std::process::Command;

const DOCUMENTS: [&str; 8] = [
    "right", "typos", "types", "rules", "twice", "syntax", "empty", "list",
];

/// Output and exit code of `agateyoke` with these arguments, run in `tests/check`.
fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_agateyoke"))
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/check"))
        .env_remove("AGATEYOKE_CONTROL")
        .args(arguments)
        .output()
        .unwrap();
    let (out, err) = (&output.stdout, &output.stderr);
    format!(
        "$ agateyoke {}\n{}{}exit {}\n",
        arguments.join(" "),
        String::from_utf8_lossy(out),
        String::from_utf8_lossy(err),
        output.status.code().unwrap()
    )
}

#[test]
fn all_findings_are_reported_in_one_run() {
    let mut session = String::new();
    for name in DOCUMENTS {
        let _ = writeln!(session, "{}", run(&["check", &format!("{name}.json")]));
    }
    session.push_str(&run(&["check", "missing.json"]));
    insta::assert_snapshot!(session);
}

#[test]
fn json_option_prints_json() {
    let session =
        run(&["--json", "check", "twice.json"]) + &run(&["--json", "check", "right.json"]);
    insta::assert_snapshot!(session);
}
