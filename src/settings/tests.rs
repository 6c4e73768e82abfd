//! Tests of the settings.

use std::fs;
use std::path::Path;

use super::logging::{self, Level, Logging, LoggingError};
use super::{control, entry};

fn example(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples/settings")
        .join(name)
}

/// Loads an example in which `from` is replaced by `to`; returns the error without the directory.
fn error_line(name: &str, from: &str, to: &str) -> String {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join(name);
    let text = fs::read_to_string(example(name)).unwrap();
    assert!(text.contains(from), "{from}");
    fs::write(&file, text.replace(from, to)).unwrap();
    let error = if name.starts_with("entry") {
        entry::load(&file).unwrap_err()
    } else {
        control::load(&file).unwrap_err()
    };
    let directory = format!("{}/", directory.path().display());
    error.to_string().replace(&directory, "")
}

#[test]
fn examples_load_with_distinct_addresses() {
    let mut addresses = Vec::new();
    for i in 1..=3 {
        let settings = control::load(&example(&format!("control-{i}.json"))).unwrap();
        let member = settings.members.iter().find(|m| m.vm == settings.vm);
        assert_eq!(member.unwrap().peer, settings.peer);
        addresses.extend([settings.peer, settings.operator]);
    }
    for i in 1..=4 {
        let settings = entry::load(&example(&format!("entry-{i}.json"))).unwrap();
        assert_eq!(settings.log.level, Level::Info);
        addresses.extend([settings.callers, settings.announce, settings.peer]);
        addresses.push(settings.operator);
    }
    let count = addresses.len();
    addresses.sort_unstable();
    addresses.dedup();
    assert_eq!(addresses.len(), count);
}

#[test]
fn all_errors_are_reported_on_one_line() {
    let lines = [
        error_line("entry-1.json", "127.0.0.1:7201", "foo"),
        error_line("entry-1.json", "\"callers\"", "\"caller\""),
        error_line("entry-1.json", "\"info\"", "\"inf\", \"file\": 7"),
        error_line(
            "entry-1.json",
            "\"vm\": \"entry-1\"",
            "\"vm\": \"\", \"vm\": \"a b\"",
        ),
        error_line(
            "entry-1.json",
            "\"zone\": \"galway\"",
            "\"zone\" \"galway\"",
        ),
        error_line("control-1.json", "control-2", "control-1"),
        error_line("control-1.json", "\"data\": \"run/control-1\",", ""),
        error_line(
            "control-1.json",
            "127.0.0.1:7103\" }",
            "127.0.0.1\", \"port\": 7103 }",
        ),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn missing_file_is_named_in_the_error() {
    let error = entry::load(Path::new("no/such/entry.json")).unwrap_err();
    let line = error.to_string();
    assert!(
        line.starts_with("no/such/entry.json: can't be read: "),
        "{line}"
    );
}

#[test]
fn each_event_is_one_line_of_key_value_pairs() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("entry.log");
    let settings = Logging {
        level: Level::Info,
        file: Some(file.clone()),
    };
    logging::init(&settings).unwrap();
    log::debug!("event=hidden");
    log::info!("event=test.shown vm=\"entry-1\"");
    assert_eq!(
        logging::init(&settings),
        Err(LoggingError::AlreadyInitialized)
    );
    let text = fs::read_to_string(&file).unwrap();
    let line = text
        .lines()
        .find(|line| line.contains("test.shown"))
        .unwrap();
    let (time, rest) = line.split_once(' ').unwrap();
    assert_eq!(rest, "level=INFO event=test.shown vm=\"entry-1\"");
    assert!(time.starts_with("time=20") && time.ends_with('Z'), "{time}");
    assert!(!text.contains("event=hidden"));
}

/// Settings of a fleet's control VM with one seed.
fn fleet_text(seed: &str) -> String {
    format!(
        r#"{{"vm":"c1","zone":"z","peer":"10.0.0.1:70","control":"10.0.0.1:80","seeds":["{seed}"],
            "founding":true,"data":"/data","lease":"10s"}}"#
    )
}

#[test]
fn fleet_settings_are_reloaded_with_and_without_a_signal() {
    let directory = tempfile::TempDir::new().unwrap();
    let path = directory.path().join("settings.json");
    std::fs::write(&path, fleet_text("10.0.0.2:80")).unwrap();
    let source = super::fleet::SettingsFile::<super::fleet::ControlSettings>::load(&path).unwrap();
    let seeds =
        |s: &super::fleet::ControlSettings| s.seeds().map(|a| a.to_string()).collect::<Vec<_>>();
    assert_eq!(seeds(source.initial()), ["10.0.0.2:70"]);
    let mut watch = source.watch();
    let mut reload = |at_once| {
        watch
            .reload_if_changed::<super::fleet::ControlSettings>(at_once)
            .map(|s| seeds(&s))
    };
    assert_eq!(reload(true), None, "unchanged file");
    std::fs::write(&path, fleet_text("10.0.0.3:80")).unwrap();
    assert_eq!(reload(true).unwrap(), ["10.0.0.3:70"], "with a signal");
    std::fs::write(&path, "{ not settings").unwrap();
    assert_eq!(reload(true), None, "invalid settings are ignored");
    std::fs::write(&path, fleet_text("10.0.0.4:80")).unwrap();
    crate::clock::advance(std::time::Duration::from_secs(2));
    assert_eq!(reload(false).unwrap(), ["10.0.0.4:70"], "without a signal");
}

#[test]
fn fleet_settings_error_names_the_missing_key() {
    let directory = tempfile::TempDir::new().unwrap();
    let path = directory.path().join("settings.json");
    let text = fleet_text("10.0.0.2:80").replace("\"founding\":true,", "");
    std::fs::write(&path, text).unwrap();
    let error =
        super::fleet::SettingsFile::<super::fleet::ControlSettings>::load(&path).unwrap_err();
    let message = error.to_string();
    assert!(
        message.contains("settings.json") && message.contains("founding"),
        "{message}"
    );
}

/// Guards against a number of voters that ignores what may be lost at once.
#[test]
fn the_number_of_voters_follows_from_the_tolerance() {
    let voters = |tolerance: &str| {
        let text = fleet_text("10.0.0.2:80").replace("\"lease\"", &format!("{tolerance}\"lease\""));
        let settings: super::fleet::ControlSettings = serde_json::from_str(&text).unwrap();
        settings.voter_count()
    };
    assert_eq!(voters(""), 3);
    assert_eq!(voters(r#""tolerance":null,"#), 3);
    assert_eq!(voters(r#""tolerance":{"vms":null,"zones":null},"#), 3);
    assert_eq!(voters(r#""tolerance":{"vms":0,"zones":0},"#), 1);
    assert_eq!(voters(r#""tolerance":{"vms":0,"zones":1},"#), 3);
    assert_eq!(voters(r#""tolerance":{"vms":1},"#), 3);
    assert_eq!(voters(r#""tolerance":{"vms":2,"zones":1},"#), 5);
}

/// Guards against entry VMs that don't start where the platform has no bound for evacuations.
#[test]
fn the_time_of_an_evacuation_may_be_absent_or_null() {
    let text = r#"{"vm":"m","zone":"z","peer":"10.0.0.1:1","callers":"10.0.0.1:2",
        "ready":"10.0.0.1:3","seeds":[],"retries":{"ratio":0.2,"window":"10s","extra":50},
        "grace":"6s" EXTRA}"#;
    let read = |extra: &str| {
        let text = text.replace("EXTRA", extra);
        let settings = serde_json::from_str::<super::fleet::EntrySettings>(&text);
        settings.map(|s| s.evacuation).ok()
    };
    assert_eq!(read(""), Some(None));
    assert_eq!(read(",\"evacuation\":null"), Some(None));
    let five = std::time::Duration::from_secs(5);
    assert_eq!(read(",\"evacuation\":\"5000ms\""), Some(Some(five)));
    assert_eq!(read(",\"evacuation\":5"), None);
}
