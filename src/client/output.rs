//! Printing: aligned tables for people, JSON for scripts.

use std::fmt::Write as _;
use std::io::{self, Write as _};

use serde_json::Value;

use super::answer::{self, Answer};

const MS_PER_DAY: u64 = 86_400_000;

/// Prints an answer; a reader that went away is no fault.
pub fn print(answer: &Answer, is_json: bool) {
    if is_json {
        say(&format!("{:#}", answer.json));
        return;
    }
    match answer.code {
        answer::DONE => say(&answer.text),
        _ => complain(&answer.text),
    }
    complain(&answer.note);
}

/// Prints to the standard output, unless there is nothing to print.
pub fn say(text: &str) {
    if !text.is_empty() {
        let _ = writeln!(io::stdout(), "{}", text.trim_end());
    }
}

/// Prints to the standard error, unless there is nothing to print.
pub fn complain(text: &str) {
    if !text.is_empty() {
        let _ = writeln!(io::stderr(), "{}", text.trim_end());
    }
}

/// Rows in columns that are as wide as their widest cell.
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

/// A value on one line; `-` if there is none.
pub fn or_dash<T>(value: Option<&T>) -> String
where
    T: ToString,
{
    value.map_or_else(|| "-".to_owned(), T::to_string)
}

/// JSON on one line; `-` if there is none.
pub fn compact(value: Option<&Value>) -> String {
    or_dash(value)
}

/// Wall time in milliseconds as UTC, such as `2026-03-01T08:00:00.000Z`.
pub fn utc(wall_ms: u64) -> String {
    let (year, month, day) = date(wall_ms / MS_PER_DAY);
    let ms = wall_ms % MS_PER_DAY;
    let (hour, minute, second) = (ms / 3_600_000, ms / 60_000 % 60, ms / 1000 % 60);
    let ms = ms % 1000;
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{ms:03}Z")
}

/// Year, month and day of a day since the Unix epoch.
fn date(days: u64) -> (u64, u64, u64) {
    // Counted from 1 March of year 0, so that a leap day ends its year.
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
