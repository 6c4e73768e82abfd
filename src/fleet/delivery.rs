//! Delivery of keys by calls: the leader's coordinator calls backend servers.
//!
//! For a service whose keys are delivered by heartbeats, the response to a heartbeat
//! carries the lease. For one whose keys are delivered by calls, each pass over the key
//! ranges assigns what is free, computes the [calls that are due](due_calls), and sends them.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future;

use super::call_leases::Run;
use super::coordinator::{Coordinator, RequestError};
use super::due_calls::{self, DueCalls};
use super::grant_client::{CallOutcome, GrantClient, Request};
use super::messages::{GrantedRange, ReleasedRange};
use super::model::{Incarnation, KeyRange, Server};
use crate::clock;
use crate::ids;
use crate::timeline::Event;

/// Releases under way at one backend server; each has a connection of its own.
const MAX_RELEASES: usize = 6;

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

impl Coordinator {
    /// Assigns the free ranges of a service and sends the calls that are due.
    pub(super) async fn deliver(
        self: &Rc<Self>,
        leading_since: Instant,
        service: &ids::ServiceName,
    ) -> Result<(), RequestError> {
        self.assign_all_free(leading_since, service).await?;
        if self.log.leading_since() != Some(leading_since) {
            return Err(RequestError::NotLeader);
        }
        for (server, calls) in self.due_calls_by_server(leading_since, service) {
            self.send_calls(leading_since, &server, calls);
        }
        Ok(())
    }

    /// Assigns all free ranges to their next owners.
    async fn assign_all_free(
        &self,
        leading_since: Instant,
        service: &ids::ServiceName,
    ) -> Result<(), RequestError> {
        let mut by_owner: BTreeMap<Incarnation, Vec<KeyRange>> = BTreeMap::new();
        for range in self.free_ranges(leading_since, service, |r| r.next.is_some()) {
            if let Some(next) = range.next.clone() {
                by_owner.entry(next.incarnation).or_default().push(range);
            }
        }
        self.with_fleet(|store| by_owner.retain(|next, _| store.accepts_keys(next)));
        let assignments = by_owner
            .iter()
            .map(|(incarnation, ranges)| self.assign(leading_since, service, incarnation, ranges));
        future::try_join_all(assignments).await.map(|_| ())
    }

    /// Calls that are due, by backend server.
    fn due_calls_by_server(
        &self,
        leading_since: Instant,
        service: &ids::ServiceName,
    ) -> Vec<(Arc<Server>, DueCalls)> {
        let now = clock::now();
        let leases = self.leases(leading_since);
        self.with_fleet(|store| {
            let Some(ranges) = store.ranges(service) else {
                return Vec::new();
            };
            let is_settled = |r: &KeyRange| leases.is_settled(service, r, now);
            let calls = due_calls::due(ranges, leases.calls(), is_settled, now);
            let known = calls.into_iter().filter_map(|(incarnation, calls)| {
                let server = store.incarnation(&incarnation)?;
                Some((Arc::clone(server), calls))
            });
            known.collect()
        })
    }

    /// Starts the calls to one backend server, unless calls of that kind are under way.
    fn send_calls(self: &Rc<Self>, leading_since: Instant, server: &Arc<Server>, calls: DueCalls) {
        let client = {
            let mut clients = self.clients.borrow_mut();
            Rc::clone(clients.entry(server.incarnation.clone()).or_default())
        };
        let now = clock::now();
        let heard = self
            .leases(leading_since)
            .last_heartbeat(&server.incarnation);
        let is_same_process = client.closed_at.get().is_none_or(|at| heard > Some(at));
        let may_retry = client.retry_at.get().is_none_or(|at| now >= at);
        let DueCalls { grants, releases } = calls;
        if !grants.is_empty() && is_same_process && may_retry && !client.busy.replace(true) {
            let coordinator = Rc::clone(self);
            let (server, client) = (Arc::clone(server), Rc::clone(&client));
            monoio::spawn(async move {
                coordinator
                    .send_grants(leading_since, &server, &client, grants)
                    .await;
                client.busy.set(false);
            });
        }
        for run in releases {
            let mut releasing = client.releasing.borrow_mut();
            if releasing.len() >= MAX_RELEASES || !releasing.insert(run) {
                continue;
            }
            let coordinator = Rc::clone(self);
            let (server, client) = (Arc::clone(server), Rc::clone(&client));
            monoio::spawn(async move {
                coordinator
                    .send_release(leading_since, &server, &client, run)
                    .await;
                client.releasing.borrow_mut().remove(&run);
            });
        }
    }

    /// Sends grants one after the other, until one fails.
    async fn send_grants(
        &self,
        leading_since: Instant,
        server: &Server,
        client: &GrantClient,
        grants: Vec<GrantedRange>,
    ) {
        let incarnation = &server.incarnation;
        let duration = self.lease_duration(&server.service);
        for grant in grants {
            let run = Run {
                from: grant.from,
                to: grant.to,
                fence: grant.fence,
            };
            let may_send = || self.may_grant(leading_since, server, &run);
            if !may_send() {
                continue;
            }
            let request = Request {
                format: &self.format,
                address: server.address,
                incarnation,
                call: (self.format.grant)(&grant, duration),
            };
            self.leases(leading_since).calls_mut().record_sent(
                incarnation,
                run,
                duration,
                clock::now(),
            );
            let outcome = client.send_grant(request, may_send).await;
            let now = clock::now();
            let mut leases = self.leases(leading_since);
            let calls = leases.calls_mut();
            match outcome {
                CallOutcome::Done(_) => {
                    calls.record_answered(incarnation, run, now);
                    continue;
                }
                CallOutcome::Cancelled => {
                    calls.record_refused(incarnation, run);
                    continue;
                }
                CallOutcome::NotSent | CallOutcome::Refused(_) => {
                    calls.record_refused(incarnation, run);
                    calls.record_failure(incarnation, now);
                }
                CallOutcome::Unanswered => calls.record_unanswered(incarnation, run, now),
            }
            client.retry_at.set(Some(now + RETRY_PAUSE));
            log::info!(
                "event=fleet.grant_failed server={:?} from={} to={} fence={} outcome={outcome:?}",
                incarnation.server,
                run.from,
                run.to,
                run.fence,
            );
            return;
        }
    }

    /// Whether this VM leads and a run still belongs to a backend server.
    fn may_grant(&self, leading_since: Instant, server: &Server, run: &Run) -> bool {
        if self.log.leading_since() != Some(leading_since) {
            return false;
        }
        let now = clock::now();
        let leases = self.leases(leading_since);
        if self.may_be_replaced(&leases, &server.incarnation) {
            return false;
        }
        let is_owned = |r: &KeyRange| {
            r.owner.as_ref() == Some(&server.incarnation)
                && r.fence == run.fence
                && (r.next.is_none() || !leases.is_settled(&server.service, r, now))
        };
        self.with_fleet(|store| {
            let ranges = store.ranges(&server.service);
            self.is_present(&server.incarnation)
                && ranges.is_some_and(|r| r.overlapping(run.from, run.to).all(is_owned))
        })
    }

    /// Sends a release and records that the keys are free once it is answered.
    async fn send_release(
        &self,
        leading_since: Instant,
        server: &Server,
        client: &GrantClient,
        run: Run,
    ) {
        let request = Request {
            format: &self.format,
            address: server.address,
            incarnation: &server.incarnation,
            call: (self.format.release)(&run),
        };
        let may_send = || self.log.leading_since() == Some(leading_since);
        let outcome = client.send_release(request, may_send).await;
        let CallOutcome::Done(token) = outcome else {
            log::info!(
                "event=fleet.release_failed server={:?} from={} to={} fence={} outcome={outcome:?}",
                server.incarnation.server,
                run.from,
                run.to,
                run.fence,
            );
            monoio::time::sleep(RETRY_PAUSE).await;
            return;
        };
        if self.log.leading_since() != Some(leading_since) {
            return;
        }
        let mut leases = self.leases(leading_since);
        leases.calls_mut().record_released(&server.incarnation, run);
        if let Some(token) = token {
            let released = ReleasedRange {
                from: run.from,
                to: run.to,
                token,
            };
            leases.record_token(&server.service, released);
        }
        drop(leases);
        self.request_pass();
    }

    /// Records in the log that an incarnation owns ranges which are free.
    pub(super) async fn assign(
        &self,
        leading_since: Instant,
        service: &ids::ServiceName,
        incarnation: &Incarnation,
        ranges: &[KeyRange],
    ) -> Result<(), RequestError> {
        let assigned: Vec<_> = {
            let mut leases = self.leases(leading_since);
            let parts = ranges
                .iter()
                .flat_map(|r| leases.split_by_token(service, r));
            let assigned = parts.collect();
            for range in ranges {
                leases.drop_tokens(service, range.from, range.to);
            }
            assigned
        };
        let event = Event::new("fleet.assign")
            .service(service)
            .server(&incarnation.server);
        self.journal
            .record(event.detail(&format!("{} key ranges", assigned.len())));
        let join = self.has_excess_ranges(service, incarnation, assigned.len());
        self.propose_fleet(super::Change::Assign {
            service: Arc::clone(service),
            incarnation: incarnation.clone(),
            ranges: assigned,
            join,
        })
        .await
    }

    /// Drops the connections to backend servers that are gone.
    pub(super) fn prune_links(&self, leading_since: Instant) {
        self.with_fleet(|store| {
            let is_known = |i: &Incarnation| store.incarnation(i).is_some();
            self.clients.borrow_mut().retain(|i, _| is_known(i));
            self.contested.borrow_mut().retain(|i| is_known(i));
            let mut leases = self.leases(leading_since);
            leases.calls_mut().retain(is_known);
            leases.retain_heartbeats(|server| store.server(server).is_some());
            self.latencies
                .borrow_mut()
                .retain(|server, _| store.server(server).is_some());
        });
    }
}

/// Connections to backend servers.
pub(super) type Clients = HashMap<Incarnation, Rc<GrantClient>>;
