//! The callers' port: requests into the proxy.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use monoio::net::TcpListener;

use super::daemon::Entry;
use super::metrics;
use super::proxy::{Observed, Parts, Proxy};
use crate::claim::Desk;
use crate::web;

/// Largest body that any document may allow, in bytes.
const BODY_BYTES: usize = 64 << 20;

/// Time between looks for gates of backend servers that are gone.
const FORGET_PAUSE: Duration = Duration::from_secs(10);

/// Serves callers until `stop`.
pub async fn serve(listener: TcpListener, entry: Rc<Entry>, stop: web::StopHandle) {
    let proxy = Proxy::new(parts(&entry));
    monoio::spawn(forget(Rc::clone(&entry), proxy.clone()));
    let handler = move |request| {
        let proxy = proxy.clone();
        async move { proxy.handle(request).await }
    };
    let limits = web::Limits {
        body_bytes: BODY_BYTES,
        ..web::Limits::default()
    };
    web::serve(listener, limits, stop, handler).await;
}

fn parts(entry: &Rc<Entry>) -> Parts {
    let metrics = entry.metrics.clone();
    Parts {
        view: Rc::clone(&entry.view),
        table: entry.table.clone(),
        gates: Rc::default(),
        claims: Desk::new(entry.control.clone()),
        journal: entry.journal.clone(),
        observe: Box::new(move |observed| observe(&metrics, observed)),
    }
}

fn observe(metrics: &metrics::Metrics, observed: &Observed) {
    let service = metrics::label(observed.service.as_ref());
    let route = observed.route.as_deref().unwrap_or(metrics::NO_NAME);
    metrics.answered(
        service,
        route,
        observed.verdict,
        observed.status,
        observed.took,
    );
    for _ in 0..observed.attempts {
        metrics.attempt(service, route);
    }
    if observed.shed {
        metrics.shed(service, route);
    }
}

/// Drops gates of backend servers that no route names, for ever.
async fn forget(entry: Rc<Entry>, proxy: Proxy) {
    loop {
        monoio::time::sleep(FORGET_PAUSE).await;
        let known: HashSet<Arc<str>> = entry.table.incarnations();
        proxy.forget_servers(|incarnation| known.contains(incarnation));
    }
}
