//! Server of the callers' port: passes requests to the proxy.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use monoio::net::TcpListener;

use super::daemon::EntryContext;
use super::metrics;
use super::proxy::{Proxy, ProxyContext, ResponseInfo};
use crate::claim::ClaimClient;
use crate::web;

/// Largest request body that a document may allow.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Interval at which limiters of removed backend servers are dropped.
const LIMITER_CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// Serves callers until `stop`.
pub async fn serve(listener: TcpListener, entry: Rc<EntryContext>, stop: web::StopHandle) {
    let proxy = Proxy::new(proxy_context(&entry));
    monoio::spawn(remove_stale_limiters(Rc::clone(&entry), proxy.clone()));
    let handler = move |request| {
        let proxy = proxy.clone();
        async move { proxy.handle(request).await }
    };
    let limits = web::Limits {
        body_bytes: MAX_BODY_BYTES,
        ..web::Limits::default()
    };
    web::serve(listener, limits, stop, handler).await;
}

fn proxy_context(entry: &Rc<EntryContext>) -> ProxyContext {
    let metrics = entry.metrics.clone();
    ProxyContext {
        view: Rc::clone(&entry.view),
        table: entry.table.clone(),
        limiters: Rc::default(),
        claims: ClaimClient::new(entry.control.clone()),
        journal: entry.journal.clone(),
        on_response: Box::new(move |info| record_metrics(&metrics, info)),
    }
}

fn record_metrics(metrics: &metrics::Metrics, info: &ResponseInfo) {
    let service = metrics::service_label(info.service.as_ref());
    let route = info.route.as_deref().unwrap_or(metrics::UNKNOWN_LABEL);
    metrics.record_response(service, route, info.verdict, info.status, info.elapsed);
    for _ in 0..info.attempts {
        metrics.count_attempt(service, route);
    }
    if info.shed {
        metrics.count_shed(service, route);
    }
}

/// Drops limiters of backend servers without a route, at intervals.
async fn remove_stale_limiters(entry: Rc<EntryContext>, proxy: Proxy) {
    loop {
        monoio::time::sleep(LIMITER_CLEANUP_INTERVAL).await;
        let routed: HashSet<Arc<str>> = entry.table.incarnations();
        proxy.retain_servers(|incarnation| routed.contains(incarnation));
    }
}
