//! Measures the cost per unit of load from which `docs/CAPACITY.md` is computed.
//!
//! Prints one JSON line for each measurement. Arguments select the parts to measure; without
//! arguments all parts are measured.

mod calls;
mod control;
mod granter;
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
static HEAP: heap::CountingAllocator = heap::CountingAllocator;

/// Minimum time for which a step is repeated.
const MIN_DURATION: Duration = Duration::from_millis(100);

/// Name of a part and its function.
type Part = (&'static str, fn());

const PARTS: [Part; 10] = [
    ("pull", granter::pull),
    ("duty", granter::passes_and_leases),
    ("table", route::table),
    ("heartbeat", messages::heartbeat),
    ("watch", messages::watch),
    ("document", messages::document),
    ("office", control::planner),
    ("claim", control::claims),
    ("wire", wire),
    ("calls", calls::grants),
];

fn main() {
    let selected: Vec<String> = env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    for (name, part) in PARTS {
        if selected.is_empty() || selected.iter().any(|w| w == name) {
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

/// Prints a measurement as one JSON line.
#[expect(
    clippy::needless_pass_by_value,
    reason = "callers build the value in place"
)]
fn print_line(value: Value) {
    println!("{value}");
}

/// Mean time of a step in microseconds, over the repetitions within [`MIN_DURATION`].
fn mean_us<T, F>(mut step: F) -> f64
where
    F: FnMut() -> T,
{
    let started = Instant::now();
    let mut steps = 0_u32;
    while started.elapsed() < MIN_DURATION {
        black_box(step());
        steps += 1;
    }
    round(started.elapsed().as_secs_f64() * 1e6 / f64::from(steps))
}

/// Rounds to three decimals.
fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
