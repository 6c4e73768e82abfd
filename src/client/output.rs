//! Printing of results: aligned tables for people, JSON for scripts.

use std::fmt::Write as _;
use std::io::{self, Write as _};

use serde_json::Value;

use super::result::{self, CommandOutput};

const MS_PER_DAY: u64 = 86_400_000;

/// Prints the output of a subcommand; a closed pipe is no error.
pub fn print(output: &CommandOutput, is_json: bool) {
    if is_json {
        print_stdout(&format!("{:#}", output.json));
        return;
    }
    match output.exit_code {
        result::EXIT_DONE => print_stdout(&output.text),
        _ => print_stderr(&output.text),
    }
    print_stderr(&output.note);
}

/// Prints `text` to stdout, unless it is empty.
pub fn print_stdout(text: &str) {
    if !text.is_empty() {
        let _ = writeln!(io::stdout(), "{}", text.trim_end());
    }
}

/// Prints `text` to stderr, unless it is empty.
pub fn print_stderr(text: &str) {
    if !text.is_empty() {
        let _ = writeln!(io::stderr(), "{}", text.trim_end());
    }
}

/// Formats a table whose columns are as wide as their widest cell.
pub fn table<const N: usize>(head: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = head.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: [&str; N]| {
        let mut line = String::new();
        for (cell, width) in cells.iter().zip(widths) {
            let _ = write!(line, "{cell:width$}  ");
        }
        line.trim_end().to_owned()
    };
    let mut lines = vec![line(head)];
    lines.extend(
        rows.iter()
            .map(|row| line(row.each_ref().map(String::as_str))),
    );
    lines.join("\n")
}

/// Formats a value; `-` if there is none.
pub fn or_dash<T>(value: Option<&T>) -> String
where
    T: ToString,
{
    value.map_or_else(|| "-".to_owned(), T::to_string)
}

/// Formats JSON on one line; `-` if there is none.
pub fn compact_json(value: Option<&Value>) -> String {
    or_dash(value)
}

/// Formats milliseconds since the Unix epoch as UTC, such as `2026-03-01T08:00:00.000Z`.
pub fn format_utc(wall_ms: u64) -> String {
    let (year, month, day) = civil_date(wall_ms / MS_PER_DAY);
    let ms = wall_ms % MS_PER_DAY;
    let (hour, minute, second) = (ms / 3_600_000, ms / 60_000 % 60, ms / 1000 % 60);
    let ms = ms % 1000;
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{ms:03}Z")
}

/// Year, month and day of a number of days since the Unix epoch.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // Counted from 1 March of year 0, so that a leap day is the last day of its year.
    let days = days + 719_468;
    let era = days / 146_097;
    let day = days % 146_097;
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let (month, carry) = if month < 10 {
        (month + 3, 0)
    } else {
        (month - 9, 1)
    };
    (era * 400 + year + carry, month, day)
}
