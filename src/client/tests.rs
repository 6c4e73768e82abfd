//! Unit tests of the client; its sessions are tested in `tests/`.

use std::sync::Arc;

use arbtest::arbtest;

use super::{output, timeline};
use crate::timeline::{Event, Timestamp};

#[test]
fn wall_times_are_formatted_as_calendar_dates() {
    let days = [
        (0, "1970-01-01"),
        (951_782_400, "2000-02-29"),
        (1_709_164_799, "2024-02-28"),
        (1_735_689_599, "2024-12-31"),
        (1_772_323_200, "2026-03-01"),
        (4_107_542_400, "2100-03-01"),
    ];
    for (seconds, day) in days {
        assert_eq!(&output::format_utc(seconds * 1000)[..10], day);
    }
    assert_eq!(
        output::format_utc(1_735_689_599_007),
        "2024-12-31T23:59:59.007Z"
    );
}

#[test]
fn columns_are_as_wide_as_their_widest_cell() {
    let rows = [
        ["é".to_owned(), "bbb".to_owned()],
        ["cc".to_owned(), String::new()],
    ];
    let table = output::table(["a", "b"], &rows);
    assert_eq!(table, "a   b\né   bbb\ncc");
}

/// Guards against a merged order that shows an effect before its cause, or that
/// depends on the order of the input. Processes whose wall clocks differ send
/// each other messages; their events are sorted in both orders.
#[test]
fn sorted_events_show_no_effect_before_its_cause() {
    for i in 0..300_u64 {
        arbtest(|u| {
            let mut clocks = Vec::new();
            for _ in 0..4 {
                let lag_ms = u.int_in_range(0..=20_u64)?;
                clocks.push((lag_ms, Timestamp::default(), 0));
            }
            let mut events: Vec<Event> = Vec::new();
            let mut causes: Vec<(u64, u64)> = Vec::new();
            for wall_ms in 100..u.int_in_range(101..=160)? {
                let (from, to) = (u.choose_index(4)?, u.choose_index(4)?);
                let mut sent = None;
                for process in [from, to] {
                    let (lag_ms, last, seq) = &mut clocks[process];
                    let received = sent.unwrap_or_default();
                    *last = (*last).max(received).next(wall_ms / 4 - *lag_ms);
                    *seq += 1;
                    let number = events.len() as u64;
                    causes.extend(sent.map(|_| (number - 1, number)));
                    sent = Some(*last);
                    events.push(Event {
                        timestamp: *last,
                        seq: *seq,
                        vm: Some(Arc::from(format!("vm-{process}"))),
                        mono_us: number,
                        ..Event::default()
                    });
                }
            }
            let mut reversed: Vec<Event> = events.iter().rev().cloned().collect();
            timeline::sort(&mut events);
            timeline::sort(&mut reversed);
            assert_eq!(events, reversed);
            let position = |number| events.iter().position(|e| e.mono_us == number);
            assert!(
                causes
                    .iter()
                    .all(|(cause, effect)| position(*cause) < position(*effect))
            );
            Ok(())
        })
        .seed(i << 32 | 512);
    }
}
