//! The state of the whole system, collected by the leader, and the metrics of a control VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Response;
use prometheus_client::encoding::text;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::api;
use super::daemon::ControlContext;
use super::info::ControlInfo;
use super::{operator, rpc_handler};
use crate::clock;
use crate::delegate::{self, messages::EntryVm};
use crate::document::store;
use crate::grant::overview::{self, Overview};
use crate::ids;

/// Method by which an entry VM reports the delegations that it serves.
pub const OVERVIEW_METHOD: &str = "entry.overview";

/// Longest wait for one entry VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time since the last contact after which an entry VM counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(2);

/// Collects the state of the whole system.
pub async fn status(control: &ControlContext) -> api::Status {
    let mut control_vms = Vec::new();
    for member in &control.settings.members {
        let info = operator::query_info(control, member.peer).await;
        control_vms.push(info.map_or_else(|| unreachable_vm(&member.vm), |i| vm_status(&i)));
    }
    let overviews = overviews(control).await;
    let documents = control.state.documents.borrow();
    api::Status {
        control: control_vms,
        entries: entry_vms(control),
        services: documents
            .all()
            .map(|version| service_status(control, version, &overviews))
            .collect(),
    }
}

/// Number of spans that a backend server owns, as reported by primaries; `None` if no primary
/// knows the server.
pub async fn span_count(control: &ControlContext, service: &str, server: &str) -> Option<u64> {
    let overviews = overviews(control).await;
    let of_service = overviews.iter().filter(|o| &*o.service == service);
    let servers = of_service.flat_map(|o| &o.servers);
    let spans = servers.filter(|s| &*s.server == server);
    spans
        .map(|s| s.span_count as u64)
        .reduce(u64::saturating_add)
}

/// The metrics of this VM as Prometheus text.
pub fn metrics(control: &ControlContext) -> Response<Bytes> {
    let info = rpc_handler::control_info(control);
    let mut registry = Registry::with_prefix("agateyoke_control");
    let leads = i64::from(control.log.leading_since().is_some());
    let claims = control.state.claims.borrow().len();
    let gauges = [
        ("leader", "Whether this VM leads", leads),
        ("term", "Election term", number(info.term)),
        (
            "commit_index",
            "Last log position known to be committed",
            number(info.commit),
        ),
        (
            "applied_index",
            "Last log position applied",
            number(control.log.applied_index()),
        ),
        (
            "data_bytes",
            "Bytes of the data folder",
            number(info.data_bytes.unwrap_or(0)),
        ),
        ("claim_records", "Claim records held", number(claims as u64)),
        (
            "entry_vms",
            "Entry VMs known",
            number(control.state.delegations.borrow().entry_vms().count() as u64),
        ),
    ];
    for (name, help, value) in gauges {
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

fn vm_status(info: &ControlInfo) -> api::ControlVmStatus {
    api::ControlVmStatus {
        vm: Arc::clone(&info.vm),
        zone: Some(Arc::clone(&info.zone)),
        role: Arc::clone(&info.role),
        term: info.term,
        commit: info.commit,
        disk_bytes: info.data_bytes,
        disk_error: info.stopped.then(|| "the log has stopped".into()),
    }
}

fn unreachable_vm(vm: &ids::VmName) -> api::ControlVmStatus {
    api::ControlVmStatus {
        vm: Arc::clone(vm),
        zone: None,
        role: "unreachable".into(),
        term: 0,
        commit: 0,
        disk_bytes: None,
        disk_error: None,
    }
}

/// The delegations of every reachable entry VM.
async fn overviews(control: &ControlContext) -> Vec<Overview> {
    let entries: Vec<EntryVm> = {
        let store = control.state.delegations.borrow();
        store.entry_vms().cloned().collect()
    };
    let reachable = entries.iter().filter(|e| is_reachable(control, &e.vm));
    let calls: Vec<_> = reachable
        .map(|entry| {
            let peer = control.peer(entry.peer);
            monoio::spawn(async move {
                peer.call::<_, Vec<Overview>>(OVERVIEW_METHOD, &(), CALL_TIMEOUT)
                    .await
            })
        })
        .collect();
    let mut overviews = Vec::new();
    for call in calls {
        overviews.extend(call.await.unwrap_or_default());
    }
    overviews
}

fn is_reachable(control: &ControlContext, vm: &str) -> bool {
    control
        .since_contact(vm)
        .is_some_and(|elapsed| elapsed < UNREACHABLE_AFTER)
}

fn entry_vms(control: &ControlContext) -> Vec<api::EntryVmStatus> {
    let store = control.state.delegations.borrow();
    let contacts = control.entry_contacts.borrow();
    store
        .entry_vms()
        .map(|entry| api::EntryVmStatus {
            vm: Arc::clone(&entry.vm),
            zone: Arc::clone(&entry.zone),
            index: contacts.get(&entry.vm).map_or(0, |c| c.index),
            since_contact_ms: control
                .since_contact(&entry.vm)
                .map_or(u64::MAX >> 11, clock::as_ms),
            stopping: entry.stopping,
        })
        .collect()
}

fn service_status(
    control: &ControlContext,
    version: &store::DocumentVersion,
    overviews: &[Overview],
) -> api::ServiceStatus {
    let service = &version.document.service;
    let entries = entry_vms(control);
    let (in_force, lagging): (Vec<_>, Vec<_>) = entries
        .iter()
        .partition(|e| e.index >= version.index && is_reachable(control, &e.vm));
    let store = control.state.delegations.borrow();
    let planner = control.planner.borrow();
    let zones: Vec<_> = store
        .delegations(service)
        .map(|delegation| {
            let mut overview = overviews.iter().filter(|o| {
                o.service == delegation.service
                    && o.zone == delegation.zone
                    && o.epoch == delegation.epoch
            });
            let renewed = planner.last_renewal(&delegation.service, &delegation.zone);
            zone_state(delegation, overview.next_back(), renewed)
        })
        .collect();
    api::ServiceStatus {
        service: Arc::clone(service),
        version: version.version,
        change: Arc::clone(&version.change),
        index: version.index,
        in_force: u32::try_from(in_force.len()).unwrap_or(u32::MAX),
        lagging: lagging.iter().map(|e| Arc::clone(&e.vm)).collect(),
        unrouted: unrouted(&zones, overviews, service),
        zones: zones.into_iter().map(|z| z.status).collect(),
    }
}

/// State of a service in a zone, also if its primary is unreachable.
struct ZoneState {
    status: api::ZoneStatus,
    key_count: u64,
    answered: bool,
}

fn zone_state(
    delegation: &delegate::Delegation,
    overview: Option<&Overview>,
    renewed: Option<Instant>,
) -> ZoneState {
    let servers = overview.map(|o| o.servers.iter().map(server_status).collect());
    ZoneState {
        status: api::ZoneStatus {
            zone: Arc::clone(&delegation.zone),
            primary: Arc::clone(&delegation.primary),
            epoch: delegation.epoch,
            spans: delegation.spans.len() as u64,
            renewed_ms: renewed.map(|at| clock::as_ms(clock::now().saturating_duration_since(at))),
            servers: servers.unwrap_or_default(),
        },
        key_count: delegation.spans.iter().map(crate::keys::Span::width).sum(),
        answered: overview.is_some(),
    }
}

fn server_status(server: &overview::ServerOverview) -> api::ServerStatus {
    api::ServerStatus {
        server: Arc::clone(&server.server),
        address: server.address,
        checks: server.checks_fences,
        slots: server.slots,
        spans: server.span_count as u64,
        alive: server.alive,
        draining: server.draining,
    }
}

/// Keys without a route, by zone and reason.
fn unrouted(zones: &[ZoneState], overviews: &[Overview], service: &str) -> Vec<api::UnroutedSpans> {
    let mut sums: BTreeMap<(ids::ZoneName, Arc<str>), (u64, u64)> = BTreeMap::new();
    for zone in zones.iter().filter(|z| !z.answered && z.key_count > 0) {
        let key = (
            Arc::clone(&zone.status.zone),
            "the primary does not answer".into(),
        );
        sums.insert(key, (zone.status.spans, zone.key_count));
    }
    for overview in overviews.iter().filter(|o| &*o.service == service) {
        for unrouted in &overview.unrouted {
            let key = (
                Arc::clone(&overview.zone),
                describe_reason(unrouted.reason).into(),
            );
            let sum = sums.entry(key).or_default();
            sum.0 += 1;
            sum.1 += unrouted.span.width();
        }
    }
    sums.into_iter()
        .map(|((zone, reason), (spans, keys))| api::UnroutedSpans {
            zone: Some(zone),
            spans,
            permille: u32::try_from(keys.saturating_mul(1000) / crate::keys::HASH_SPACE)
                .unwrap_or(1000),
            reason,
        })
        .collect()
}

const fn describe_reason(reason: overview::UnroutedReason) -> &'static str {
    match reason {
        overview::UnroutedReason::PriorGrants => {
            "waits until the predecessor's grants have expired"
        }
        overview::UnroutedReason::NoServer => "no backend server can own it",
        overview::UnroutedReason::Unconfirmed => "waits for the next owner's confirmation",
        overview::UnroutedReason::Leaving => "waits until the last owner's grant has expired",
        overview::UnroutedReason::Released => "is moved to another zone",
    }
}
