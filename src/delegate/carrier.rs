//! The entry VM's task that carries the duties delegated to it.
//!
//! It compares the view with what it carries: takes a duty over once the
//! carriers before it have been waited out, follows a delegation to a higher
//! epoch, and ends a duty that went to another VM. What this VM can't go on
//! with, after a restart or when it stops, it resigns.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::appoint::{self, Key};
use super::bar::{self, BarDesk};
use super::held::{Held, Phase};
use super::messages::{Delegation, DutyReport, RenewAnswer};
use super::renew::Reports;
use super::takeover::Takeover;
use super::view::View;
use crate::clock;
use crate::grant::{Granter, Granters, InheritedState};
use crate::ids;
use crate::rpc::Peer;
use crate::timeline::{Event, Journal};
use crate::timing;

/// Time until a voter's answer is given up.
const BAR_LIMIT: Duration = Duration::from_millis(100);

/// Pause before a voter is asked again.
const BAR_PAUSE: Duration = Duration::from_millis(20);

/// Gives what this VM holds itself of a service and zone, with `prior_end` left out.
pub type Inherit = Box<dyn Fn(&str, &str) -> InheritedState>;

/// Asks a voter until it has answered or the takeover is dropped.
pub type Ask = Box<dyn Fn(Weak<RefCell<Takeover>>, ids::VmName)>;

/// The duties of this VM and how it came by them.
pub struct Carrier {
    vm: ids::VmName,
    view: Rc<View>,
    desk: Rc<BarDesk>,
    duties: Rc<Granters>,
    inherit: Inherit,
    ask: Ask,
    journal: Journal,
    held: RefCell<BTreeMap<Key, Held>>,
    /// Epochs of delegations to this VM that it gives up.
    resigned: RefCell<BTreeMap<Key, ids::Epoch>>,
    begun: Cell<bool>,
    stopping: Cell<bool>,
}

impl Carrier {
    /// A carrier without duties yet; `ask` is [`ask_voters`] but in tests.
    pub fn new(
        view: Rc<View>,
        desk: Rc<BarDesk>,
        duties: Rc<Granters>,
        inherit: Inherit,
        ask: Ask,
        journal: Journal,
    ) -> Self {
        Self {
            vm: Arc::clone(journal.vm()),
            view,
            desk,
            duties,
            inherit,
            ask,
            journal,
            held: RefCell::default(),
            resigned: RefCell::default(),
            begun: Cell::new(false),
            stopping: Cell::new(false),
        }
    }

    /// Carries duties, for ever.
    pub async fn run(&self) {
        loop {
            self.advance(clock::now());
            self.view.changed.wait(timing::DUTY_TICK).await;
        }
    }

    /// Compares the view with what is carried, and lets time pass for every duty.
    pub fn advance(&self, now: Instant) {
        if self.view.index() == 0 {
            return;
        }
        if !self.begun.replace(true) {
            self.resign_inherited();
        }
        for delegation in self.view.all_delegations() {
            self.follow(now, &delegation);
        }
        self.take_over(now);
        for held in self.held.borrow().values() {
            held.tick(now, &self.view);
        }
        self.retire(now);
    }

    /// What to report to the leader.
    pub fn reports(&self, now: Instant) -> Reports {
        let held = self.held.borrow();
        let resigned = self.resigned.borrow();
        let duties = held.values().map(|h| h.report(now));
        let given_up = resigned.iter().map(|((service, zone), epoch)| DutyReport {
            service: Arc::clone(service),
            zone: Arc::clone(zone),
            epoch: *epoch,
            servers: 0,
            slots: 0,
            released: Vec::new(),
            resigned: true,
        });
        Reports {
            duties: duties.chain(given_up).collect(),
            acting: held.values().filter_map(Held::acting).collect(),
        }
    }

    /// Takes in the leader's answer to a renewal sent at that instant.
    ///
    /// A duty that is not in the answer is not renewed; whether it went to another VM or on to
    /// a higher epoch, the view tells.
    pub fn answered(&self, sent: Instant, answer: &RenewAnswer) {
        let held = self.held.borrow();
        for renewed in &answer.renewed {
            let key = (Arc::clone(&renewed.service), Arc::clone(&renewed.zone));
            if let Some(held) = held.get(&key) {
                held.renewed(sent, renewed);
            }
        }
    }

    /// Gives up every duty and takes no other, as this VM stops.
    pub fn resign(&self) {
        self.stopping.set(true);
        let keys: Vec<_> = self.held.borrow().keys().cloned().collect();
        for key in keys {
            self.give_up(&key);
        }
    }

    /// Waits until every duty given up was taken from this VM, at most `limit`.
    pub async fn handed_on(&self, limit: Duration) {
        let start = clock::now();
        while !self.resigned.borrow().is_empty() && clock::now() < start + limit {
            self.view.changed.wait(timing::DUTY_TICK).await;
        }
    }

    /// Duties under which this VM may act now, with their epochs.
    pub fn acting(&self, now: Instant) -> Vec<(Key, ids::Epoch)> {
        let held = self.held.borrow();
        let acting = held.iter().filter(|(_, h)| h.may_act(now));
        acting
            .filter_map(|(key, h)| Some((key.clone(), h.acting()?)))
            .collect()
    }

    /// Gives up what an earlier process of this VM carried; its memory of grants is gone.
    fn resign_inherited(&self) {
        let delegations = self.view.all_delegations();
        for delegation in delegations.iter().filter(|d| d.carrier == self.vm) {
            let key = appoint::key(delegation);
            self.note("delegate.resigned", &key, delegation.epoch);
            self.resigned.borrow_mut().insert(key, delegation.epoch);
        }
    }

    fn follow(&self, now: Instant, delegation: &Rc<Delegation>) {
        let key = appoint::key(delegation);
        if delegation.carrier != self.vm {
            self.resigned.borrow_mut().remove(&key);
            self.end(&key, "delegate.ended");
            return;
        }
        let held_epoch = self.held.borrow().get(&key).map(Held::epoch);
        match held_epoch {
            Some(epoch) if epoch == delegation.epoch => {}
            Some(_) => self.rebase(now, &key, delegation),
            None if self.starts(&key, delegation) => self.begin(now, &key, delegation, None),
            None => {}
        }
    }

    /// Whether this process may take up the delegation, or has to resign it.
    fn starts(&self, key: &Key, delegation: &Delegation) -> bool {
        let mut resigned = self.resigned.borrow_mut();
        let given_up = resigned.get(key).copied();
        let replaced = |epoch| delegation.prior.iter().any(|p| p.epoch >= epoch);
        let stands = given_up.is_none_or(replaced);
        if stands && !self.stopping.get() {
            resigned.remove(key);
            return true;
        }
        resigned.insert(key.clone(), delegation.epoch);
        false
    }

    fn begin(
        &self,
        now: Instant,
        key: &Key,
        delegation: &Rc<Delegation>,
        own_end: Option<Instant>,
    ) {
        self.note("delegate.appointed", key, delegation.epoch);
        let takeover = Takeover::new(now, delegation);
        let held = Held::new(
            delegation,
            takeover,
            own_end,
            Rc::clone(&self.desk),
            self.journal.clone(),
        );
        self.ask_all(now, &held);
        self.held.borrow_mut().insert(key.clone(), held);
    }

    /// Follows the delegation to a higher epoch, if no other carrier was in between.
    fn rebase(&self, now: Instant, key: &Key, delegation: &Rc<Delegation>) {
        let mut held = self.held.borrow_mut();
        let Some(mine) = held.get_mut(key) else {
            return;
        };
        if mine.continues(now, delegation) && mine.rebase(now, delegation) {
            self.ask_all(now, mine);
            return;
        }
        let end = mine.right_end().map_or(now, |end| end.min(now));
        drop(held);
        self.end(key, "delegate.ended");
        self.begin(now, key, delegation, Some(end));
    }

    fn ask_all(&self, now: Instant, held: &Held) {
        let Phase::TakingOver(takeover) = &held.phase else {
            return;
        };
        let (voters, request) = {
            let takeover = takeover.borrow();
            (takeover.voters(), takeover.request().clone())
        };
        for vm in voters {
            if vm == self.vm {
                let answer = self.desk.bar(now, &request);
                takeover.borrow_mut().answered(now, &vm, &answer);
            } else {
                (self.ask)(Rc::downgrade(takeover), vm);
            }
        }
    }

    /// Begins to act where every carrier before has been waited out.
    fn take_over(&self, now: Instant) {
        for (key, held) in self.held.borrow_mut().iter_mut() {
            let Some(document) = self.view.document(&key.0) else {
                continue;
            };
            let Some(prior_end) = held.waited_out(now) else {
                continue;
            };
            let inherited = match prior_end {
                Some(_) => (self.inherit)(&key.0, &key.1),
                None => InheritedState::default(),
            };
            let inherited = InheritedState {
                predecessor_end: prior_end,
                ..inherited
            };
            let duty = Granter::new(
                &held.delegation,
                document.document,
                inherited,
                held.rights(),
                self.journal.clone(),
            );
            self.duties.insert(Rc::clone(&duty));
            held.act(duty);
            self.note("delegate.carried", key, held.epoch());
        }
    }

    /// Drops duties that resigned themselves, such as one without fences left.
    fn retire(&self, now: Instant) {
        let held = self.held.borrow();
        let over = held.iter().filter(|(_, h)| h.report(now).resigned);
        let over: Vec<_> = over.map(|(key, _)| key.clone()).collect();
        drop(held);
        for key in over {
            self.give_up(&key);
        }
    }

    fn give_up(&self, key: &Key) {
        let epoch = self.held.borrow().get(key).map(Held::epoch);
        if let Some(epoch) = epoch {
            self.end(key, "delegate.resigned");
            self.resigned.borrow_mut().insert(key.clone(), epoch);
        }
    }

    /// Stops acting.
    fn end(&self, key: &Key, event: &str) {
        let Some(held) = self.held.borrow_mut().remove(key) else {
            return;
        };
        held.end();
        self.duties.remove(&key.0, &key.1);
        self.note(event, key, held.epoch());
    }

    fn note(&self, kind: &str, key: &Key, epoch: ids::Epoch) {
        let event = Event::new(kind).service(&key.0).zone(&key.1).epoch(epoch);
        self.journal.record(event);
    }
}

impl fmt::Debug for Carrier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Carrier")
            .field("vm", &self.vm)
            .field("held", &self.held)
            .finish_non_exhaustive()
    }
}

/// Asks voters by calls to their VMs, one task for each.
pub fn ask_voters(view: Rc<View>, journal: Journal) -> Ask {
    Box::new(move |takeover, vm| {
        monoio::spawn(ask_voter(takeover, vm, Rc::clone(&view), journal.clone()));
    })
}

async fn ask_voter(
    takeover: Weak<RefCell<Takeover>>,
    vm: ids::VmName,
    view: Rc<View>,
    journal: Journal,
) {
    while let Some(asked) = takeover.upgrade() {
        let request = asked.borrow().request().clone();
        drop(asked);
        if let Some(entry) = view.entry(&vm) {
            let peer = Peer::new(entry.peer, journal.clone());
            let answer = peer.call(bar::METHOD, &request, BAR_LIMIT).await;
            match (answer, takeover.upgrade()) {
                (Ok(answer), Some(asked)) => {
                    asked.borrow_mut().answered(clock::now(), &vm, &answer);
                    return;
                }
                (_, None) => return,
                (Err(_), Some(_)) => {}
            }
        }
        monoio::time::sleep(BAR_PAUSE).await;
    }
}
