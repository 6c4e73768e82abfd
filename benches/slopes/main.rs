//! Measures the slopes that `docs/CAPACITY.md` is worked out from.
//!
//! Prints one JSON line for each figure. Words on the command line pick the
//! parts to measure; without any, all are measured.

mod control;
mod duty;
mod heap;
mod messages;
mod route;
mod wire;

use std::env;
use std::hint::black_box;
use std::time::{Duration, Instant};

use agateyoke::runtime;
use serde_json::Value;

#[global_allocator]
static HEAP: heap::Counting = heap::Counting;

/// Shortest time that a step is repeated for.
const LEAST: Duration = Duration::from_millis(100);

/// A part and its name.
type Part = (&'static str, fn());

const PARTS: [Part; 9] = [
    ("pull", duty::pull),
    ("duty", duty::work),
    ("table", route::table),
    ("heartbeat", messages::heartbeat),
    ("watch", messages::watch),
    ("document", messages::document),
    ("office", control::office),
    ("claim", control::claims),
    ("wire", wire),
];

fn main() {
    let wanted: Vec<String> = env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    for (name, part) in PARTS {
        if wanted.is_empty() || wanted.iter().any(|w| w == name) {
            part();
        }
    }
}

fn wire() {
    runtime::run(async {
        wire::calls().await;
        wire::log().await;
    });
}

/// Prints one line.
#[expect(
    clippy::needless_pass_by_value,
    reason = "callers build the value in place"
)]
fn line(value: Value) {
    println!("{value}");
}

/// Mean time of a step in microseconds, over as many as fit into [`LEAST`].
fn mean_us<T, F>(mut step: F) -> f64
where
    F: FnMut() -> T,
{
    let begun = Instant::now();
    let mut steps = 0_u32;
    while begun.elapsed() < LEAST {
        black_box(step());
        steps += 1;
    }
    rounded(begun.elapsed().as_secs_f64() * 1e6 / f64::from(steps))
}

/// Three decimals are enough to read.
fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
