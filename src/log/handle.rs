//! What other slices do with the log.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::value::RawValue;

use super::Member;
use super::election;
use super::error::ProposeError;
use super::follow;
use super::members;
use super::messages::{self, Succeed};
use super::model::{DiskId, Seat};
use super::node::Node;
use super::snapshots;
use super::state::{Read, Role, State};
use crate::clock;
use crate::ids;
use crate::rpc::{Answer, Fault, error, server};

/// Longest time that a leader takes to hand over.
const HANDOVER: Duration = Duration::from_secs(1);

/// Time between looks at a handover.
const POLL: Duration = Duration::from_millis(5);

/// Handle to the log of this VM; clones share it.
#[derive(Clone)]
pub struct Handle {
    pub(super) node: Rc<Node>,
}

/// State of one member, as another VM sees it.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaStatus {
    /// VM of the member.
    pub vm: ids::VmName,
    /// Its disk.
    #[serde(rename = "disk")]
    pub id: DiskId,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// Whether it counts for elections and commits.
    pub voter: bool,
    /// Last entry known to be synced there; only a leader knows.
    #[serde(rename = "matched")]
    pub match_index: Option<ids::LogIndex>,
    /// Milliseconds since it last answered; only a leader knows.
    #[serde(rename = "heard_ms")]
    pub last_contact_ms: Option<u64>,
}

/// State of the log on this VM.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// This VM.
    pub vm: ids::VmName,
    /// Its disk.
    #[serde(rename = "disk")]
    pub replica: DiskId,
    /// Disk that formed the cluster; names it for ever.
    #[serde(rename = "cluster")]
    pub cluster_id: Option<DiskId>,
    /// Its part.
    pub role: Role,
    /// Current term.
    pub term: ids::LogTerm,
    /// Who leads, if known.
    pub leader: Option<ids::VmName>,
    /// Last entry known to be committed.
    #[serde(rename = "commit")]
    pub commit_index: ids::LogIndex,
    /// Last entry applied.
    #[serde(rename = "applied")]
    pub applied_index: ids::LogIndex,
    /// Last entry.
    #[serde(rename = "last")]
    pub last_index: ids::LogIndex,
    /// Last entry covered by the snapshot, 0 without one.
    #[serde(rename = "snapshot")]
    pub snapshot_index: ids::LogIndex,
    /// All members.
    #[serde(rename = "members")]
    pub replicas: Vec<ReplicaStatus>,
    /// Whether these members are committed; until then those before them count too.
    #[serde(rename = "settled")]
    pub membership_committed: bool,
    /// Whether the log has stopped on this VM.
    pub stopped: bool,
}

impl Handle {
    /// Appends a command; answers with its output once it is committed and applied here.
    ///
    /// It waits for as long as a majority answers, however slow their disks are; a
    /// caller that gives up must take the command for one that may yet commit.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] only if certainly nothing was appended.
    pub async fn propose(&self, payload: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        self.node.propose(payload).await
    }

    /// Confirms that this VM still leads, by a round to a majority begun after the call.
    ///
    /// Everything committed before the call has been applied when it returns.
    pub async fn read_barrier(&self) -> Result<ids::LogIndex, ProposeError> {
        let receiver = {
            let mut state = self.node.state_mut();
            let term = state.term();
            if !state.leads(term) {
                return Err(state.not_leader());
            }
            state.round += 1;
            let (sender, receiver) = local_sync::oneshot::channel();
            let read = Read {
                round: state.round,
                index: state.commit.max(state.first),
                sender,
            };
            state.reads.push_back(read);
            state.release_reads();
            receiver
        };
        self.node.asked.wake();
        receiver.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Since when this VM leads and has applied an entry of its own term.
    pub fn leading_since(&self) -> Option<Instant> {
        let state = self.node.state();
        state.led.filter(|_| state.hears_majority())
    }

    /// Whether a leader was heard lately, or this VM leads with a majority, and an entry of
    /// the present term is applied.
    ///
    /// What is applied here is then at most a few heartbeats old.
    pub fn is_up_to_date(&self) -> bool {
        let state = self.node.state();
        let caught_up = state.log.term_at(state.applied) == Some(state.term());
        caught_up && state.has_leader() && !state.stopped
    }

    /// Address of the leader, if another VM is known to lead.
    pub fn leader(&self) -> Option<SocketAddr> {
        members::leader_of(&self.node.state())
    }

    /// Names the VMs to ask when this disk has no seat.
    pub fn set_seeds(&self, roster: Vec<Member>) {
        *self.node.roster.borrow_mut() = roster;
    }

    /// Whether the log has stopped on this VM, as after a failed write.
    pub fn is_stopped(&self) -> bool {
        self.node.stopped()
    }

    /// Last position applied on this VM, entries of the log's own included.
    pub fn applied_index(&self) -> ids::LogIndex {
        self.node.state().applied
    }

    /// State of the log on this VM.
    pub fn status(&self) -> Status {
        let state = self.node.state();
        let seats = state.log.members().map(|m| m.seats.iter());
        let members = seats.into_iter().flatten();
        Status {
            vm: Arc::clone(&self.node.config.vm),
            replica: Arc::clone(&state.disk),
            cluster_id: state.log.members().map(|m| Arc::clone(&m.founder)),
            role: state.role,
            term: state.term(),
            leader: state.leader.as_ref().map(|l| Arc::clone(&l.vm)),
            commit_index: state.commit,
            applied_index: state.applied,
            last_index: state.log.last(),
            snapshot_index: state.log.covered(),
            replicas: members.map(|s| replica_status(&state, s)).collect(),
            membership_committed: state.log.members_index() <= state.commit,
            stopped: state.stopped,
        }
    }

    /// Answers a call of another member; `None` if the method is not the log's.
    pub async fn answer(&self, method: &str, body: &RawValue) -> Option<Answer> {
        if !method.starts_with("log.") {
            return None;
        }
        if self.node.stopped() {
            return Some(Err(Fault::new(error::REFUSED, "the log has stopped")));
        }
        Some(self.dispatch(method, body).await)
    }

    async fn dispatch(&self, method: &str, body: &RawValue) -> Answer {
        let node = &self.node;
        match method {
            messages::VOTE => server::result(&election::vote(node, server::params(body)?).await),
            messages::BEAT => server::result(&follow::beat(node, server::params(body)?).await),
            messages::APPEND => server::result(&follow::append(node, server::params(body)?).await),
            messages::SNAPSHOT => {
                server::result(&snapshots::receive(node, server::params(body)?).await)
            }
            messages::BLANK => server::result(&members::blank(node, server::params(body)?)),
            messages::JOIN => server::result(&members::admit(node, server::params(body)?)),
            messages::SUCCEED => server::result(&election::succeed(node, &server::params(body)?)),
            other => Err(server::unknown(other)),
        }
    }

    /// Lets this leader admit a VM that is no member yet, once that VM asks.
    ///
    /// Another leader knows nothing of it and is to be told anew.
    /// The VM's own settings name the members and itself.
    pub fn allow_join(&self, member: Member) {
        let mut state = self.node.state_mut();
        state.invited.retain(|m| m.vm != member.vm);
        state.invited.push(member);
    }

    /// Removes a VM from the members, for good.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] also if the VM is this one: hand over first.
    pub async fn remove_member(&self, vm: &ids::VmName) -> Result<(), ProposeError> {
        let term = {
            let state = self.node.state();
            let term = state.term();
            if !state.leads(term) || *vm == self.node.config.vm {
                return Err(state.not_leader());
            }
            term
        };
        let without = |_: &State, members: &super::model::Membership| {
            let mut members = members.clone();
            members.seats.retain(|s| s.vm != *vm);
            members::Edit::Make(members)
        };
        if members::change(&self.node, term, without).await {
            Ok(())
        } else {
            Err(ProposeError::OutcomeUnknown)
        }
    }

    /// Hands leadership to the member that is most caught up, if this VM leads.
    pub async fn step_down(&self) {
        let (term, heir) = {
            let mut state = self.node.state_mut();
            let term = state.term();
            if !state.leads(term) {
                return;
            }
            state.leaving = true;
            (term, heir(&state))
        };
        if let Some(heir) = heir {
            let work = self.hand_over(term, &heir);
            let _ = monoio::time::timeout(HANDOVER, work).await;
        }
        if self.node.state().leads(term) {
            self.node.state_mut().follow(None);
            self.node.wake_all();
        }
        self.node.record("log.stepped_down", "handed over");
    }

    async fn hand_over(&self, term: ids::LogTerm, heir: &Seat) {
        let behind = || {
            let state = self.node.state();
            let matched = state.progress.get(&heir.disk).map(|p| p.matched);
            state.leads(term) && matched.is_some_and(|m| m < state.log.last())
        };
        while behind() {
            monoio::time::sleep(POLL).await;
        }
        let Some(route) = self.node.route(&heir.disk, term) else {
            return;
        };
        let peer = self.node.peer(heir);
        let succeed = Succeed { route };
        let call = peer.call::<_, bool>(messages::SUCCEED, &succeed, HANDOVER);
        if call.await != Ok(true) {
            return;
        }
        while self.node.state().leads(term) {
            monoio::time::sleep(POLL).await;
        }
    }

    /// Stops the log on this VM at once and gives its folder free.
    pub fn stop(&self) {
        self.node.stop("asked to stop");
    }
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle")
            .field("vm", &self.node.config.vm)
            .finish_non_exhaustive()
    }
}

/// The other voter that is most caught up.
fn heir(state: &State) -> Option<Seat> {
    let members = state.log.members()?;
    let others = members.voters().filter(|s| s.disk != state.disk);
    let matched = |s: &&Seat| state.progress.get(&s.disk).map_or(0, |p| p.matched);
    others.max_by_key(matched).cloned()
}

fn replica_status(state: &State, seat: &Seat) -> ReplicaStatus {
    let progress = state.progress.get(&seat.disk);
    let own = seat.disk == state.disk;
    let silence = |p: &super::state::Progress| clock::now().saturating_duration_since(p.heard);
    ReplicaStatus {
        vm: Arc::clone(&seat.vm),
        id: Arc::clone(&seat.disk),
        address: seat.address,
        voter: seat.voter,
        match_index: if own {
            Some(state.log.synced())
        } else {
            progress.map(|p| p.matched)
        },
        last_contact_ms: progress.map(|p| clock::as_ms(silence(p))),
    }
}
