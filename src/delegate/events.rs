//! Time line events for changes of the replicated state.

use super::store::{Change, Store, ZoneShare};
use crate::ids;
use crate::timeline::Event;

/// Event for a change that was just applied; `None` for changes that are not recorded.
pub fn for_change(change: &Change, store: &Store) -> Option<Event> {
    match change {
        Change::Initialize { service, shares } => {
            let zones: Vec<_> = shares.iter().map(describe_share).collect();
            let event = Event::new("delegate.first").service(service);
            Some(event.detail(&zones.join(", ")))
        }
        Change::ReplacePrimary {
            service,
            config,
            resigned,
            ..
        } => {
            let suffix = if *resigned { ", resigned" } else { "" };
            let primary = &config.primary;
            let event = zone_event(store, "delegate.appoint", service, &config.zone);
            Some(event.detail(&format!("carrier {primary}{suffix}")))
        }
        Change::MoveSpans {
            service,
            from,
            to,
            spans,
            ..
        } => {
            let event = zone_event(store, "delegate.move", service, &to.zone);
            Some(event.detail(&format!("{} spans of zone {from}", spans.len())))
        }
        Change::SetDrain(drain) => {
            let event = Event::new("delegate.drain");
            let event = event.service(&drain.service).server(&drain.server);
            Some(event.detail(if drain.draining { "on" } else { "off" }))
        }
        Change::RemoveEntryVm { vm } => Some(Event::new("delegate.gone").detail(vm)),
        Change::UpsertEntryVm { .. } | Change::ClearPredecessors { .. } => None,
    }
}

fn zone_event(
    store: &Store,
    kind: &str,
    service: &ids::ServiceName,
    zone: &ids::ZoneName,
) -> Event {
    let event = Event::new(kind).service(service).zone(zone);
    match store.delegation(service, zone) {
        Some(delegation) => event.epoch(delegation.epoch),
        None => event,
    }
}

fn describe_share(share: &ZoneShare) -> String {
    format!("{} {}", share.config.zone, share.spans.len())
}
