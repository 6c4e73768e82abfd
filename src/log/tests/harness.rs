//! Test harness: a cluster in one runtime, with a link for each ordered pair of VMs that can be
//! partitioned.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use monoio::net::TcpListener;
use tempfile::TempDir;

use crate::ids;
use crate::log::{self, Config, Handle, Member, ProposeError, Role, StateMachine, Tuning};
use crate::rpc;
use crate::timeline::Journal;

/// Limit for each wait; far more than any step takes.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Commands applied by one replica, in order.
pub(super) type Applied = Rc<RefCell<Vec<String>>>;

/// Function that any thread may call.
pub(super) type Hook = Arc<dyn Fn() + Send + Sync>;

/// A VM whose data directory survives when its replica is stopped.
pub(super) struct Vm {
    pub(super) config: Config,
    pub(super) applied: Applied,
    pub(super) handle: Option<Handle>,
    /// Called in the encoding thread before a snapshot is encoded.
    pub(super) before_encode: Option<Hook>,
    running: Rc<RefCell<Option<Handle>>>,
    journal: Journal,
    dir: TempDir,
}

/// Connection from one VM to another.
#[derive(Default)]
struct Link {
    /// Whether calls get no response.
    partitioned: Cell<bool>,
    /// Calls that found no running replica.
    refused: Cell<usize>,
}

/// VMs and the links between them.
pub(super) struct Cluster {
    pub(super) vms: Vec<Vm>,
    links: Vec<Vec<Rc<Link>>>,
    snapshot_entries: u64,
}

fn name(number: usize) -> ids::VmName {
    format!("c{number}").into()
}

/// A state machine that keeps a list of distinct commands and outputs its length.
///
/// Panics if an entry is applied twice or out of order.
pub(super) fn state_machine(applied: &Applied) -> StateMachine {
    let (applying, capturing, restoring) =
        (Rc::clone(applied), Rc::clone(applied), Rc::clone(applied));
    let last_index = Rc::new(Cell::new(0));
    let restored_index = Rc::clone(&last_index);
    StateMachine {
        apply: Box::new(move |index, payload| {
            assert!(
                index > last_index.replace(index),
                "entry {index} applied again"
            );
            let text = String::from_utf8(payload.to_vec()).unwrap();
            if !applying.borrow().contains(&text) {
                applying.borrow_mut().push(text);
            }
            applying.borrow().len().to_string().into_bytes()
        }),
        snapshot: Box::new(move || {
            let commands = capturing.borrow().clone();
            Box::new(move || serde_json::to_vec(&commands).map_err(|e| e.to_string().into()))
        }),
        restore: Box::new(move |index, bytes| {
            restored_index.set(index);
            *restoring.borrow_mut() =
                serde_json::from_slice(bytes).map_err(|e| Arc::from(e.to_string()))?;
            Ok(())
        }),
    }
}

impl Cluster {
    /// VMs with empty data directories, not yet started.
    pub(super) fn new(count: usize, snapshot_entries: u64) -> Self {
        let row = |_| (0..count).map(|_| Rc::default()).collect();
        let mut cluster = Self {
            vms: Vec::new(),
            links: (0..count).map(row).collect(),
            snapshot_entries,
        };
        let running: Vec<Rc<RefCell<Option<Handle>>>> = (0..count).map(|_| Rc::default()).collect();
        for from in 0..count {
            let member = |to: usize| Member {
                vm: name(to),
                address: serve(&running[to], &cluster.links[from][to], name(to)),
            };
            let dir = TempDir::new().unwrap();
            let config = Config {
                vm: name(from),
                data_dir: dir.path().join("data"),
                members: (0..count).map(member).collect(),
                discovery: None,
            };
            cluster.vms.push(Vm {
                config,
                applied: Applied::default(),
                handle: None,
                before_encode: None,
                running: Rc::clone(&running[from]),
                journal: Journal::new(name(from)),
                dir,
            });
        }
        cluster
    }

    /// A bootstrapped cluster with a leader.
    pub(super) async fn start_new(count: usize, snapshot_entries: u64) -> Self {
        let mut cluster = Self::new(count, snapshot_entries);
        (0..count).for_each(|vm| cluster.start(vm));
        cluster.leader().await;
        cluster
    }

    pub(super) fn start(&mut self, vm: usize) {
        self.try_start(vm).unwrap();
    }

    pub(super) fn try_start(&mut self, number: usize) -> Result<(), log::OpenError> {
        let vm = &mut self.vms[number];
        vm.applied.borrow_mut().clear();
        let tuning = Tuning {
            snapshot_entries: self.snapshot_entries,
            trailing_entries: 10,
            ..Tuning::default()
        };
        let mut state_machine = state_machine(&vm.applied);
        if let Some(hook) = vm.before_encode.clone() {
            let capture = state_machine.snapshot;
            state_machine.snapshot = Box::new(move || {
                let (encode, hook) = (capture(), Arc::clone(&hook));
                Box::new(move || {
                    hook();
                    encode()
                })
            });
        }
        let handle = log::open_tuned(vm.config.clone(), tuning, state_machine, vm.journal.clone())?;
        *vm.running.borrow_mut() = Some(handle.clone());
        vm.handle = Some(handle);
        Ok(())
    }

    /// Stops a replica at once.
    pub(super) fn kill(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        vm.running.borrow_mut().take();
        if let Some(handle) = vm.handle.take() {
            handle.stop();
        }
    }

    /// Removes the data directory of a stopped replica.
    pub(super) fn wipe_data_dir(&mut self, number: usize) {
        std::fs::remove_dir_all(self.data_dir(number)).unwrap();
    }

    pub(super) fn data_dir(&self, number: usize) -> PathBuf {
        self.vms[number].dir.path().join("data")
    }

    /// Partitions all links of a VM, or restores them.
    pub(super) fn isolate(&self, number: usize, partitioned: bool) {
        for other in 0..self.vms.len() {
            self.links[number][other].partitioned.set(partitioned);
            self.links[other][number].partitioned.set(partitioned);
        }
    }

    pub(super) fn handle(&self, number: usize) -> &Handle {
        self.vms[number].handle.as_ref().unwrap()
    }

    pub(super) fn commands(&self, number: usize) -> Vec<String> {
        self.vms[number].applied.borrow().clone()
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.vms.len()).filter(|n| self.vms[*n].handle.is_some())
    }

    /// Waits for a leader of the newest term that has applied its first entry.
    pub(super) async fn leader(&self) -> usize {
        self.leader_except(usize::MAX).await
    }

    /// Waits for a leader other than one VM.
    pub(super) async fn leader_except(&self, except: usize) -> usize {
        let find = || {
            let leads = |n: &usize| self.handle(*n).leading_since().is_some();
            self.running().filter(|n| *n != except).find(leads)
        };
        until("a leader", || find().is_some()).await;
        find().unwrap()
    }

    /// Proposes an idempotent command until it is applied.
    pub(super) async fn propose(&self, text: &str, except: usize) {
        let done = monoio::time::timeout(TIMEOUT, self.try_propose(text, except)).await;
        assert!(done.is_ok(), "{text} is not applied in time");
    }

    async fn try_propose(&self, text: &str, except: usize) {
        loop {
            let leader = self.leader_except(except).await;
            let result = self.handle(leader).propose(text.as_bytes().to_vec()).await;
            match result {
                Ok(_) => return,
                Err(ProposeError::Stopped) => panic!("stopped"),
                Err(_) => monoio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    /// Waits until VMs have applied `count` commands; panics if these differ.
    pub(super) async fn wait_for_agreement(&self, members: &[usize], count: usize) {
        let have_all = || members.iter().all(|n| self.commands(*n).len() == count);
        until("agreement", have_all).await;
        assert!(
            members
                .windows(2)
                .all(|w| self.commands(w[0]) == self.commands(w[1]))
        );
    }

    /// Waits until the committed membership consists of these replicas, all voters.
    pub(super) async fn wait_for_voters(&self, observer: usize, ids: &[Arc<str>]) {
        until("the voters", || {
            let status = self.handle(observer).status();
            let replicas = status.replicas;
            let voters = replicas.len() == ids.len() && replicas.iter().all(|r| r.voter);
            status.membership_committed
                && voters
                && ids.iter().all(|id| replicas.iter().any(|r| r.id == *id))
        })
        .await;
    }

    pub(super) fn replicas(&self) -> Vec<Arc<str>> {
        self.running()
            .map(|n| self.handle(n).status().replica)
            .collect()
    }

    /// Number of calls from one VM to another that found no running replica.
    pub(super) fn refused_calls(&self, from: usize, to: usize) -> usize {
        self.links[from][to].refused.get()
    }

    /// Id of the cluster.
    pub(super) fn cluster_id(&self) -> Arc<str> {
        self.handle(0).status().cluster_id.unwrap()
    }

    pub(super) fn role(&self, number: usize) -> Role {
        self.handle(number).status().role
    }

    pub(super) fn event_count(&self, number: usize, kind: &str) -> usize {
        let events = self.vms[number].journal.events_after(0);
        events.iter().filter(|e| &*e.kind == kind).count()
    }
}

/// The output of `work`; panics if it takes too long.
pub(super) async fn in_time<F>(work: F) -> F::Output
where
    F: Future,
{
    let done = monoio::time::timeout(TIMEOUT, work).await;
    done.unwrap_or_else(|_| panic!("timed out"))
}

/// Waits for a condition; panics if that takes too long.
pub(super) async fn until<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let wait = async {
        while !condition() {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let done = monoio::time::timeout(TIMEOUT, wait).await;
    assert!(done.is_ok(), "timed out waiting for {what}");
}

/// Listens for calls to the running replica; calls get no response while the link is partitioned.
fn serve(
    running: &Rc<RefCell<Option<Handle>>>,
    link: &Rc<Link>,
    vm: ids::VmName,
) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (running, link) = (Rc::clone(running), Rc::clone(link));
    let handler = move |method: Box<str>, body: Box<serde_json::value::RawValue>| {
        let handle = running.borrow().clone();
        let link = Rc::clone(&link);
        async move {
            let refused = rpc::Fault::new(rpc::error::REFUSED, "not running");
            if link.partitioned.get() {
                std::future::pending::<()>().await;
            }
            let Some(handle) = handle else {
                link.refused.set(link.refused.get() + 1);
                return Err(refused);
            };
            let response = handle.answer(&method, &body).await;
            if link.partitioned.get() {
                std::future::pending::<()>().await;
            }
            response.unwrap_or(Err(refused))
        }
    };
    monoio::spawn(rpc::serve(listener, Journal::new(vm), handler));
    address
}
