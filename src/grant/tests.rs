//! Tests of a duty.

mod fixture;
mod model;
mod world;

use std::rc::Rc;
use std::time::Duration;

use super::messages::LeaseRequest;
use crate::clock;
use crate::keys::Span;
use crate::runtime;
use arbtest::arbitrary::{Result, Unstructured};
use fixture::{beat, carrier, pull, settle};
use world::{Action, World};

/// Random scenarios of a run.
const SCENARIOS: u64 = 60;

/// Spreads the seeds over all bits.
const SPREAD: u64 = 0x9E37_79B9;

/// Random bytes of a scenario.
const SIZE: u64 = 2048;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_first_assignment_is_even_and_published_once_confirmed() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b", "c", "d"].map(|s| beat(s, true)).into();
    settle(&duty, &mut now, &mut servers, SECOND);
    assert!(servers.iter().all(|s| s.holds.len() == 4));
    let answer = duty.answer(now, &pull("vm", None)).unwrap();
    assert!(answer.full && answer.routes.iter().all(|r| r.server.is_some()));
    assert_eq!((answer.routes.len(), answer.servers.len()), (16, 4));
}

#[test]
fn a_lost_server_loses_only_its_own_spans_and_the_map_changes_by_these() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers: Vec<LeaseRequest> = ["a", "b", "c", "d"].map(|s| beat(s, true)).into();
    settle(&duty, &mut now, &mut servers, SECOND);
    let before = duty.answer(now, &pull("vm", None)).unwrap();
    let lost = servers.remove(0);
    settle(&duty, &mut now, &mut servers, SECOND);
    let after = duty.answer(now, &pull("vm", Some(&before))).unwrap();
    let spans: Vec<Span> = after.routes.iter().map(|r| r.span).collect();
    let owned: Vec<Span> = lost.holds.iter().map(|g| g.span).collect();
    assert_eq!((after.full, spans), (false, owned));
    let fence = lost.holds.iter().map(|g| g.fence).max().unwrap();
    assert!(
        after
            .routes
            .iter()
            .all(|r| r.fence > fence && r.server.is_some())
    );
}

#[test]
fn a_restarted_server_holds_nothing_until_the_old_lease_is_over() {
    let (duty, mut now) = (carrier(), clock::now());
    let mut servers = vec![beat("a", true)];
    settle(&duty, &mut now, &mut servers, SECOND);
    assert_eq!(servers[0].holds.len(), 16);
    servers[0] = beat("a", true);
    servers[0].incarnation = "second".into();
    settle(&duty, &mut now, &mut servers, Duration::from_millis(400));
    assert!(servers[0].holds.is_empty());
    settle(&duty, &mut now, &mut servers, SECOND);
    assert_eq!(servers[0].holds.len(), 16);
}

#[test]
fn a_question_is_held_open_until_there_is_news() {
    runtime::run(async {
        let (duty, mut now) = (carrier(), clock::now());
        let mut servers = vec![beat("a", true)];
        settle(&duty, &mut now, &mut servers, SECOND);
        let first = duty.pull(pull("vm", None)).await.unwrap();
        let held = monoio::spawn({
            let (duty, question) = (Rc::clone(&duty), pull("vm", Some(&first)));
            async move { duty.pull(question).await }
        });
        monoio::time::sleep(Duration::from_millis(5)).await;
        duty.tick(now + SECOND);
        let answer = held.await.unwrap();
        assert!(!answer.full && answer.version > first.version);
        assert!(answer.routes.iter().all(|r| r.server.is_none()));
    });
}

#[test]
fn no_hash_has_two_owners_and_all_are_served_once_faults_end() {
    for seed in 1..=SCENARIOS {
        arbtest::arbtest(scenario)
            .seed(seed.wrapping_mul(SPREAD) << 32 | SIZE)
            .run();
    }
}

/// Random faults for a while, then none.
fn scenario(u: &mut Unstructured<'_>) -> Result<()> {
    let mut world = World::new(u.arbitrary()?, u.arbitrary()?);
    for _ in 0..160 {
        world.step();
    }
    for _ in 0..u.int_in_range(5..=40)? {
        world.act(Action::draw(u)?);
        for _ in 0..u.int_in_range(1..=60)? {
            world.step();
        }
    }
    world.heal();
    let healed = world.now;
    while !world.served() {
        world.step();
        assert!(world.now < healed + SECOND * 10, "not served again");
    }
    Ok(())
}
