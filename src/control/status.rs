//! The state of the whole system, as the leader sees it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Response;
use prometheus_client::encoding::text;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::about::About;
use super::api;
use super::daemon::Control;
use super::{answer, operator};
use crate::clock;
use crate::delegate::{self, messages::EntryVm};
use crate::document::store;
use crate::grant::overview::{self, Overview};
use crate::ids;

/// Method by which an entry VM tells of the duties that it carries.
pub const OVERVIEW: &str = "entry.overview";

/// Longest wait for one entry VM.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Silence after which an entry VM is not counted on for a document in force.
const PRESENT: Duration = Duration::from_secs(2);

/// The state of the whole system.
pub async fn status(control: &Control) -> api::Status {
    let mut members = Vec::new();
    for member in &control.settings.members {
        let about = operator::ask(control, member.peer).await;
        members.push(about.map_or_else(|| unreachable(&member.vm), |a| reachable(&a)));
    }
    let overviews = overviews(control).await;
    let documents = control.state.documents.borrow();
    api::Status {
        control: members,
        entries: entries(control),
        services: documents
            .all()
            .map(|entry| service(control, entry, &overviews))
            .collect(),
    }
}

/// Spans that a backend server holds, as its carrier says; `None` if no carrier knows it.
pub async fn spans_of(control: &Control, service: &str, server: &str) -> Option<u64> {
    let overviews = overviews(control).await;
    let of_service = overviews.iter().filter(|o| &*o.service == service);
    let lines = of_service.flat_map(|o| &o.servers);
    let spans = lines.filter(|line| &*line.server == server);
    spans
        .map(|line| line.span_count as u64)
        .reduce(u64::saturating_add)
}

/// The metrics of this VM as Prometheus text.
pub fn metrics(control: &Control) -> Response<Bytes> {
    let about = answer::about(control);
    let mut registry = Registry::with_prefix("agateyoke_control");
    let leads = i64::from(control.log.leading_since().is_some());
    let claims = control.state.claims.borrow().len();
    let lines = [
        ("leader", "Whether this VM leads", leads),
        ("term", "Election term", number(about.term)),
        (
            "commit_index",
            "Last log position known to be committed",
            number(about.commit),
        ),
        (
            "applied_index",
            "Last log position applied",
            number(control.log.applied_index()),
        ),
        (
            "data_bytes",
            "Bytes of the data folder",
            number(about.disk_bytes.unwrap_or(0)),
        ),
        ("claim_records", "Claim records held", number(claims as u64)),
        (
            "entry_vms",
            "Entry VMs known",
            number(control.state.delegations.borrow().entry_vms().count() as u64),
        ),
    ];
    for (name, help, value) in lines {
        let gauge: Gauge = Gauge::default();
        gauge.set(value);
        registry.register(name, help, gauge);
    }
    let mut body = String::new();
    if let Err(error) = text::encode(&mut body, &registry) {
        log::warn!("event=control.metrics error={:?}", error.to_string());
    }
    Response::new(Bytes::from(body))
}

fn number(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn reachable(about: &About) -> api::MemberStatus {
    api::MemberStatus {
        vm: Arc::clone(&about.vm),
        zone: Some(Arc::clone(&about.zone)),
        role: Arc::clone(&about.role),
        term: about.term,
        commit: about.commit,
        disk_bytes: about.disk_bytes,
        disk_fault: about.stopped.then(|| "the log has stopped".into()),
    }
}

fn unreachable(vm: &ids::VmName) -> api::MemberStatus {
    api::MemberStatus {
        vm: Arc::clone(vm),
        zone: None,
        role: "unreachable".into(),
        term: 0,
        commit: 0,
        disk_bytes: None,
        disk_fault: None,
    }
}

/// The duties of every entry VM that is in touch.
async fn overviews(control: &Control) -> Vec<Overview> {
    let entries: Vec<EntryVm> = {
        let store = control.state.delegations.borrow();
        store.entry_vms().cloned().collect()
    };
    let present = entries.iter().filter(|e| is_present(control, &e.vm));
    let asked: Vec<_> = present
        .map(|entry| {
            let peer = control.peer(entry.peer);
            monoio::spawn(async move {
                peer.call::<_, Vec<Overview>>(OVERVIEW, &(), ASK_TIMEOUT)
                    .await
            })
        })
        .collect();
    let mut overviews = Vec::new();
    for answer in asked {
        overviews.extend(answer.await.unwrap_or_default());
    }
    overviews
}

fn is_present(control: &Control, vm: &str) -> bool {
    control.silence(vm).is_some_and(|silence| silence < PRESENT)
}

fn entries(control: &Control) -> Vec<api::EntryStatus> {
    let store = control.state.delegations.borrow();
    let seen = control.seen.borrow();
    store
        .entry_vms()
        .map(|entry| api::EntryStatus {
            vm: Arc::clone(&entry.vm),
            zone: Arc::clone(&entry.zone),
            index: seen.get(&entry.vm).map_or(0, |s| s.have),
            heard_ms: control
                .silence(&entry.vm)
                .map_or(u64::MAX >> 11, clock::as_ms),
            stopping: entry.stopping,
        })
        .collect()
}

fn service(control: &Control, entry: &store::Entry, overviews: &[Overview]) -> api::ServiceStatus {
    let service = &entry.document.service;
    let entries = entries(control);
    let (in_force, lagging): (Vec<_>, Vec<_>) = entries
        .iter()
        .partition(|e| e.index >= entry.index && is_present(control, &e.vm));
    let store = control.state.delegations.borrow();
    let office = control.office.borrow();
    let zones: Vec<_> = store
        .delegations(service)
        .map(|delegation| {
            let mut overview = overviews.iter().filter(|o| {
                o.service == delegation.service
                    && o.zone == delegation.zone
                    && o.epoch == delegation.epoch
            });
            let renewed = office.last_renewal(&delegation.service, &delegation.zone);
            zone(delegation, overview.next_back(), renewed)
        })
        .collect();
    api::ServiceStatus {
        service: Arc::clone(service),
        version: entry.version,
        change: Arc::clone(&entry.change),
        index: entry.index,
        in_force: u32::try_from(in_force.len()).unwrap_or(u32::MAX),
        lagging: lagging.iter().map(|e| Arc::clone(&e.vm)).collect(),
        dark: dark(&zones, overviews, service),
        zones: zones.into_iter().map(|z| z.status).collect(),
    }
}

/// A zone with what its carrier could not say itself.
struct Zone {
    status: api::ZoneStatus,
    keys: u64,
    answered: bool,
}

fn zone(
    delegation: &delegate::Delegation,
    overview: Option<&Overview>,
    renewed: Option<Instant>,
) -> Zone {
    let servers = overview.map(|o| o.servers.iter().map(server).collect());
    Zone {
        status: api::ZoneStatus {
            zone: Arc::clone(&delegation.zone),
            carrier: Arc::clone(&delegation.primary),
            epoch: delegation.epoch,
            spans: delegation.spans.len() as u64,
            renewed_ms: renewed.map(|at| clock::as_ms(clock::now().saturating_duration_since(at))),
            servers: servers.unwrap_or_default(),
        },
        keys: delegation.spans.iter().map(crate::keys::Span::width).sum(),
        answered: overview.is_some(),
    }
}

fn server(line: &overview::ServerOverview) -> api::ServerStatus {
    api::ServerStatus {
        server: Arc::clone(&line.server),
        address: line.address,
        checks: line.checks_fences,
        slots: line.slots,
        spans: line.span_count as u64,
        alive: line.alive,
        draining: line.draining,
    }
}

/// Keys that are not served, by zone and reason.
fn dark(zones: &[Zone], overviews: &[Overview], service: &str) -> Vec<api::Dark> {
    let mut dark: BTreeMap<(ids::ZoneName, Arc<str>), (u64, u64)> = BTreeMap::new();
    for zone in zones.iter().filter(|z| !z.answered && z.keys > 0) {
        let key = (
            Arc::clone(&zone.status.zone),
            "the carrier does not answer".into(),
        );
        dark.insert(key, (zone.status.spans, zone.keys));
    }
    for overview in overviews.iter().filter(|o| &*o.service == service) {
        for line in &overview.unrouted {
            let key = (Arc::clone(&overview.zone), why(line.reason).into());
            let sum = dark.entry(key).or_default();
            sum.0 += 1;
            sum.1 += line.span.width();
        }
    }
    dark.into_iter()
        .map(|((zone, why), (spans, keys))| api::Dark {
            zone: Some(zone),
            spans,
            permille: u32::try_from(keys.saturating_mul(1000) / crate::keys::HASH_SPACE)
                .unwrap_or(1000),
            why,
        })
        .collect()
}

const fn why(dark: overview::UnroutedReason) -> &'static str {
    match dark {
        overview::UnroutedReason::PriorGrants => "waits for the end of the prior carrier's grants",
        overview::UnroutedReason::NoServer => "no backend server may take it",
        overview::UnroutedReason::Unconfirmed => "waits for its next owner's confirmation",
        overview::UnroutedReason::Leaving => "waits for the end of its last owner's grant",
        overview::UnroutedReason::Released => "on its way to another zone",
    }
}
