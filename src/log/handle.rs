//! Handle to the log for the rest of the process.

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
use super::follower;
use super::membership;
use super::messages::{self, TimeoutNowRequest};
use super::model::{Replica, ReplicaId};
use super::node::Node;
use super::snapshots;
use super::state::{PendingRead, Role, State};
use crate::clock;
use crate::ids;
use crate::rpc::{Fault, RpcResult, error, server};

/// Timeout of a leadership transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between checks of a leadership transfer.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handle to the log on this VM; clones share the log.
#[derive(Clone)]
pub struct Handle {
    pub(super) node: Rc<Node>,
}

/// State of one replica as this VM knows it.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaStatus {
    /// VM of the replica.
    pub vm: ids::VmName,
    /// Id of the replica.
    #[serde(rename = "disk")]
    pub id: ReplicaId,
    /// Address of the VM's control daemon.
    pub address: std::net::SocketAddr,
    /// Whether the replica counts for elections and commits.
    pub voter: bool,
    /// Last entry known to be synced by the replica; known to a leader only.
    #[serde(rename = "matched")]
    pub match_index: Option<ids::LogIndex>,
    /// Milliseconds since the last answered message was sent; known to a leader only.
    #[serde(rename = "heard_ms")]
    pub last_contact_ms: Option<u64>,
}

/// State of the log on this VM.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// VM of this replica.
    pub vm: ids::VmName,
    /// Id of this replica.
    #[serde(rename = "disk")]
    pub replica: ReplicaId,
    /// Id of the cluster; `None` while this replica belongs to none.
    #[serde(rename = "cluster")]
    pub cluster_id: Option<ReplicaId>,
    /// Role in the current term.
    pub role: Role,
    /// Current term.
    pub term: ids::LogTerm,
    /// VM that leads, if known.
    pub leader: Option<ids::VmName>,
    /// Last entry known to be committed.
    #[serde(rename = "commit")]
    pub commit_index: ids::LogIndex,
    /// Last entry applied.
    #[serde(rename = "applied")]
    pub applied_index: ids::LogIndex,
    /// Last entry of the log.
    #[serde(rename = "last")]
    pub last_index: ids::LogIndex,
    /// Last entry that the snapshot covers; 0 without a snapshot.
    #[serde(rename = "snapshot")]
    pub snapshot_index: ids::LogIndex,
    /// Replicas of the newest membership.
    #[serde(rename = "members")]
    pub replicas: Vec<ReplicaStatus>,
    /// Whether the newest membership is committed; until then the previous one may still apply.
    #[serde(rename = "settled")]
    pub membership_committed: bool,
    /// Whether the log has stopped on this VM.
    pub stopped: bool,
}

impl Handle {
    /// Appends a command; returns its output once it is committed and applied here.
    ///
    /// Waits for as long as a majority answers, however slow the disks are. If the future is
    /// dropped, the command may still commit.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] only if it is certain that nothing was appended.
    pub async fn propose(&self, payload: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        self.node.propose(payload).await
    }

    /// Confirms that this VM still leads, by a round of heartbeats to a majority.
    ///
    /// The round starts after the call; everything committed before the call has been applied
    /// when it returns. Returns the last applied index.
    pub async fn read_barrier(&self) -> Result<ids::LogIndex, ProposeError> {
        let receiver = {
            let mut state = self.node.state_mut();
            let term = state.term();
            if !state.is_leader(term) {
                return Err(state.not_leader_error());
            }
            state.heartbeat_round += 1;
            let (sender, receiver) = local_sync::oneshot::channel();
            let read = PendingRead {
                heartbeat_round: state.heartbeat_round,
                index: state.commit_index.max(state.term_start),
                sender,
            };
            state.pending_reads.push_back(read);
            state.complete_reads();
            receiver
        };
        self.node.heartbeat_due.wake();
        receiver.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// When this VM, as a leader with a majority, first applied an entry of its own term.
    pub fn leading_since(&self) -> Option<Instant> {
        let state = self.node.state();
        state.leading_since.filter(|_| state.has_quorum())
    }

    /// Whether a leader is in contact, or this VM leads with a majority, and the last applied
    /// entry is of the current term.
    ///
    /// The applied state is then at most a few heartbeats old.
    pub fn is_up_to_date(&self) -> bool {
        let state = self.node.state();
        let caught_up = state.log.term_at(state.applied_index) == Some(state.term());
        caught_up && state.has_live_leader() && !state.stopped
    }

    /// Address of the leader, if one is known.
    pub fn leader(&self) -> Option<SocketAddr> {
        membership::leader_address(&self.node.state())
    }

    /// Whether a replica of the newest membership has this address.
    pub fn is_member(&self, address: SocketAddr) -> bool {
        let state = self.node.state();
        let membership = state.log.membership();
        membership.is_some_and(|m| m.replicas.iter().any(|r| r.address == address))
    }

    /// Replaces the VMs to contact when this replica needs to find its cluster.
    pub fn set_seeds(&self, seeds: Vec<Member>) {
        *self.node.seeds.borrow_mut() = seeds;
    }

    /// Whether the log has stopped on this VM, for example after a failed write.
    pub fn is_stopped(&self) -> bool {
        self.node.stopped()
    }

    /// Last entry applied on this VM; entries without a command count too.
    pub fn applied_index(&self) -> ids::LogIndex {
        self.node.state().applied_index
    }

    /// Current state of the log on this VM.
    pub fn status(&self) -> Status {
        let state = self.node.state();
        let replicas = state.log.membership().map(|m| m.replicas.iter());
        let members = replicas.into_iter().flatten();
        Status {
            vm: Arc::clone(&self.node.config.vm),
            replica: Arc::clone(&state.id),
            cluster_id: state.log.membership().map(|m| Arc::clone(&m.cluster_id)),
            role: state.role,
            term: state.term(),
            leader: state.leader.as_ref().map(|l| Arc::clone(&l.vm)),
            commit_index: state.commit_index,
            applied_index: state.applied_index,
            last_index: state.log.last_index(),
            snapshot_index: state.log.snapshot_index(),
            replicas: members.map(|r| replica_status(&state, r)).collect(),
            membership_committed: state.log.membership_index() <= state.commit_index,
            stopped: state.stopped,
        }
    }

    /// Answers a call of another replica; `None` if the method does not belong to the log.
    pub async fn answer(&self, method: &str, body: &RawValue) -> Option<RpcResult> {
        if !method.starts_with("log.") {
            return None;
        }
        if self.node.stopped() {
            return Some(Err(Fault::new(error::REFUSED, "the log has stopped")));
        }
        Some(self.dispatch(method, body).await)
    }

    async fn dispatch(&self, method: &str, body: &RawValue) -> RpcResult {
        let node = &self.node;
        match method {
            messages::VOTE => server::encode_result(
                &election::handle_vote(node, server::decode_params(body)?).await,
            ),
            messages::HEARTBEAT => server::encode_result(
                &follower::handle_heartbeat(node, server::decode_params(body)?).await,
            ),
            messages::APPEND => server::encode_result(
                &follower::handle_append(node, server::decode_params(body)?).await,
            ),
            messages::SNAPSHOT => server::encode_result(
                &snapshots::handle_chunk(node, server::decode_params(body)?).await,
            ),
            messages::PROBE => server::encode_result(&membership::handle_probe(
                node,
                server::decode_params(body)?,
            )),
            messages::JOIN => {
                server::encode_result(&membership::handle_join(node, server::decode_params(body)?))
            }
            messages::TIMEOUT_NOW => server::encode_result(&election::handle_timeout_now(
                node,
                &server::decode_params(body)?,
            )),
            other => Err(server::unknown_method(other)),
        }
    }

    /// Lets this leader accept a VM that is no member yet, once that VM asks to join.
    ///
    /// The permission is kept in memory only: it has to be repeated for another leader. The
    /// settings of the joining VM list the members and the VM itself.
    pub fn allow_join(&self, member: Member) {
        let mut state = self.node.state_mut();
        state.allowed_joins.retain(|m| m.vm != member.vm);
        state.allowed_joins.push(member);
    }

    /// Removes the replicas of a VM from the membership.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] also if the VM is this one: call [`Handle::step_down`] first.
    /// [`ProposeError::OutcomeUnknown`] if this VM stopped leading before the change committed.
    pub async fn remove_member(&self, vm: &ids::VmName) -> Result<(), ProposeError> {
        let term = {
            let state = self.node.state();
            let term = state.term();
            if !state.is_leader(term) || *vm == self.node.config.vm {
                return Err(state.not_leader_error());
            }
            term
        };
        let without = |_: &State, membership: &super::model::Membership| {
            let mut membership = membership.clone();
            membership.replicas.retain(|r| r.vm != *vm);
            membership::Edit::Apply(membership)
        };
        if membership::change_membership(&self.node, term, without).await {
            Ok(())
        } else {
            Err(ProposeError::OutcomeUnknown)
        }
    }

    /// Transfers the leadership to the most up-to-date voter, if this VM leads.
    pub async fn step_down(&self) {
        let (term, target) = {
            let mut state = self.node.state_mut();
            let term = state.term();
            if !state.is_leader(term) {
                return;
            }
            state.transferring = true;
            (term, transfer_target(&state))
        };
        if let Some(target) = target {
            let transfer = self.transfer_leadership(term, &target);
            // After the timeout this VM steps down all the same, without a successor.
            let _ = monoio::time::timeout(TRANSFER_TIMEOUT, transfer).await;
        }
        let transferred = !self.node.state().is_leader(term);
        if !transferred {
            self.node.state_mut().become_follower(None);
            self.node.wake_all();
        }
        let detail = if transferred {
            "transferred the leadership"
        } else {
            "no other replica took the leadership"
        };
        self.node.record("log.stepped_down", detail);
    }

    async fn transfer_leadership(&self, term: ids::LogTerm, target: &Replica) {
        let behind = || {
            let state = self.node.state();
            let match_index = state.progress.get(&target.id).map(|p| p.match_index);
            state.is_leader(term) && match_index.is_some_and(|m| m < state.log.last_index())
        };
        while behind() {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        let Some(header) = self.node.header_to(&target.id, term) else {
            return;
        };
        let peer = self.node.peer(target);
        let request = TimeoutNowRequest { header };
        let call = peer.call::<_, bool>(messages::TIMEOUT_NOW, &request, TRANSFER_TIMEOUT);
        if call.await != Ok(true) {
            return;
        }
        while self.node.state().is_leader(term) {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Stops the log on this VM at once and unlocks the data directory.
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

/// The most up-to-date voter other than this replica.
fn transfer_target(state: &State) -> Option<Replica> {
    let membership = state.log.membership()?;
    let others = membership.voters().filter(|r| r.id != state.id);
    let match_index = |r: &&Replica| state.progress.get(&r.id).map_or(0, |p| p.match_index);
    others.max_by_key(match_index).cloned()
}

fn replica_status(state: &State, replica: &Replica) -> ReplicaStatus {
    let progress = state.progress.get(&replica.id);
    let own = replica.id == state.id;
    let since_contact =
        |p: &super::state::Progress| clock::now().saturating_duration_since(p.last_contact);
    ReplicaStatus {
        vm: Arc::clone(&replica.vm),
        id: Arc::clone(&replica.id),
        address: replica.address,
        voter: replica.voter,
        match_index: if own {
            Some(state.log.synced_index())
        } else {
            progress.map(|p| p.match_index)
        },
        last_contact_ms: progress.map(|p| clock::as_ms(since_contact(p))),
    }
}
