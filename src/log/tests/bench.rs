//! A cluster in one runtime: each pair of members has links of its own that can be cut.

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

/// Far more than any step takes; a test fails loudly after it.
const LIMIT: Duration = Duration::from_secs(30);

/// Commands applied by one member, in order.
pub(super) type Applied = Rc<RefCell<Vec<String>>>;

/// One VM: its folder outlives its process.
pub(super) struct Vm {
    pub(super) config: Config,
    pub(super) applied: Applied,
    pub(super) handle: Option<Handle>,
    slot: Rc<RefCell<Option<Handle>>>,
    journal: Journal,
    folder: TempDir,
}

/// One way from a VM to another.
#[derive(Default)]
struct Link {
    /// Whether calls vanish.
    cut: Cell<bool>,
    /// Calls that met no running member.
    refused: Cell<usize>,
}

/// Some VMs, and for each pair whether calls pass.
pub(super) struct Cluster {
    pub(super) vms: Vec<Vm>,
    links: Vec<Vec<Rc<Link>>>,
    snapshot_entries: u64,
}

fn name(number: usize) -> ids::VmName {
    format!("c{number}").into()
}

/// A machine that keeps a list of commands, each once; its output is the list's length.
///
/// It takes no entry twice and none out of order.
pub(super) fn machine(applied: &Applied) -> StateMachine {
    let (list, all, whole) = (Rc::clone(applied), Rc::clone(applied), Rc::clone(applied));
    let newest = Rc::new(Cell::new(0));
    let restored = Rc::clone(&newest);
    StateMachine {
        apply: Box::new(move |index, payload| {
            assert!(index > newest.replace(index), "entry {index} applied again");
            let text = String::from_utf8(payload.to_vec()).unwrap();
            if !list.borrow().contains(&text) {
                list.borrow_mut().push(text);
            }
            list.borrow().len().to_string().into_bytes()
        }),
        snapshot: Box::new(move || {
            let all = all.borrow().clone();
            Box::new(move || serde_json::to_vec(&all).map_err(|e| e.to_string().into()))
        }),
        restore: Box::new(move |index, bytes| {
            restored.set(index);
            *whole.borrow_mut() =
                serde_json::from_slice(bytes).map_err(|e| Arc::from(e.to_string()))?;
            Ok(())
        }),
    }
}

impl Cluster {
    /// VMs with empty folders, not yet started.
    pub(super) fn new(count: usize, snapshot_entries: u64) -> Self {
        let row = |_| (0..count).map(|_| Rc::default()).collect();
        let mut cluster = Self {
            vms: Vec::new(),
            links: (0..count).map(row).collect(),
            snapshot_entries,
        };
        let slots: Vec<Rc<RefCell<Option<Handle>>>> = (0..count).map(|_| Rc::default()).collect();
        for from in 0..count {
            let member = |to: usize| Member {
                vm: name(to),
                address: serve(&slots[to], &cluster.links[from][to], name(to)),
            };
            let folder = TempDir::new().unwrap();
            let config = Config {
                vm: name(from),
                data_dir: folder.path().join("data"),
                members: (0..count).map(member).collect(),
                discovery: None,
            };
            cluster.vms.push(Vm {
                config,
                applied: Applied::default(),
                handle: None,
                slot: Rc::clone(&slots[from]),
                journal: Journal::new(name(from)),
                folder,
            });
        }
        cluster
    }

    /// A cluster that has formed and has a leader.
    pub(super) async fn formed(count: usize, snapshot_entries: u64) -> Self {
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
        let machine = machine(&vm.applied);
        let handle = log::open_tuned(vm.config.clone(), tuning, machine, vm.journal.clone())?;
        *vm.slot.borrow_mut() = Some(handle.clone());
        vm.handle = Some(handle);
        Ok(())
    }

    /// Ends a member at once.
    pub(super) fn kill(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        vm.slot.borrow_mut().take();
        if let Some(handle) = vm.handle.take() {
            handle.stop();
        }
    }

    /// Empties the folder of a member that was killed.
    pub(super) fn lose_disk(&mut self, number: usize) {
        std::fs::remove_dir_all(self.data(number)).unwrap();
    }

    pub(super) fn data(&self, number: usize) -> PathBuf {
        self.vms[number].folder.path().join("data")
    }

    /// Cuts, or heals, all links of a member.
    pub(super) fn isolate(&self, number: usize, cut: bool) {
        for other in 0..self.vms.len() {
            self.links[number][other].cut.set(cut);
            self.links[other][number].cut.set(cut);
        }
    }

    pub(super) fn handle(&self, number: usize) -> &Handle {
        self.vms[number].handle.as_ref().unwrap()
    }

    pub(super) fn list(&self, number: usize) -> Vec<String> {
        self.vms[number].applied.borrow().clone()
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.vms.len()).filter(|n| self.vms[*n].handle.is_some())
    }

    /// Waits for a leader of the newest term that has applied its first entry.
    pub(super) async fn leader(&self) -> usize {
        self.leader_but(usize::MAX).await
    }

    /// Waits for a leader other than one member.
    pub(super) async fn leader_but(&self, not: usize) -> usize {
        let find = || {
            let leads = |n: &usize| self.handle(*n).leading_since().is_some();
            self.running().filter(|n| *n != not).find(leads)
        };
        until("a leader", || find().is_some()).await;
        find().unwrap()
    }

    /// Proposes until it is applied, as a client with an idempotent command would.
    pub(super) async fn propose(&self, text: &str, not: usize) {
        let done = monoio::time::timeout(LIMIT, self.try_propose(text, not)).await;
        assert!(done.is_ok(), "{text} is not applied in time");
    }

    async fn try_propose(&self, text: &str, not: usize) {
        loop {
            let leader = self.leader_but(not).await;
            let answer = self.handle(leader).propose(text.as_bytes().to_vec()).await;
            match answer {
                Ok(_) => return,
                Err(ProposeError::Stopped) => panic!("stopped"),
                Err(_) => monoio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    /// Waits until members have applied just what the first of them has, `count` commands.
    pub(super) async fn agree(&self, members: &[usize], count: usize) {
        let agreed = || members.iter().all(|n| self.list(*n).len() == count);
        until("agreement", agreed).await;
        assert!(
            members
                .windows(2)
                .all(|w| self.list(w[0]) == self.list(w[1]))
        );
    }

    /// Waits until it is committed that just these disks vote and nobody learns.
    pub(super) async fn voters(&self, by: usize, disks: &[Arc<str>]) {
        until("voters", || {
            let status = self.handle(by).status();
            let members = status.replicas;
            let voters = members.len() == disks.len() && members.iter().all(|m| m.voter);
            status.membership_committed
                && voters
                && disks.iter().all(|d| members.iter().any(|m| m.id == *d))
        })
        .await;
    }

    pub(super) fn disks(&self) -> Vec<Arc<str>> {
        self.running()
            .map(|n| self.handle(n).status().replica)
            .collect()
    }

    /// How many calls of a VM to another met no running member.
    pub(super) fn refused(&self, from: usize, to: usize) -> usize {
        self.links[from][to].refused.get()
    }

    /// Disk that names the cluster.
    pub(super) fn founder(&self) -> Arc<str> {
        self.handle(0).status().cluster_id.unwrap()
    }

    pub(super) fn role(&self, number: usize) -> Role {
        self.handle(number).status().role
    }

    pub(super) fn events(&self, number: usize, kind: &str) -> usize {
        let events = self.vms[number].journal.since(0);
        events.iter().filter(|e| &*e.kind == kind).count()
    }
}

/// The output of `work`, which fails the test if it takes far too long.
pub(super) async fn in_time<F>(work: F) -> F::Output
where
    F: Future,
{
    let done = monoio::time::timeout(LIMIT, work).await;
    done.unwrap_or_else(|_| panic!("no end in time"))
}

/// Waits for a condition.
pub(super) async fn until<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let wait = async {
        while !condition() {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let done = monoio::time::timeout(LIMIT, wait).await;
    assert!(done.is_ok(), "no {what} in time");
}

/// A listener that passes calls to whatever runs in `slot`, and is silent while cut.
fn serve(
    slot: &Rc<RefCell<Option<Handle>>>,
    link: &Rc<Link>,
    vm: ids::VmName,
) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (slot, link) = (Rc::clone(slot), Rc::clone(link));
    let handler = move |method: Box<str>, body: Box<serde_json::value::RawValue>| {
        let handle = slot.borrow().clone();
        let link = Rc::clone(&link);
        async move {
            let refused = rpc::Fault::new(rpc::error::REFUSED, "not running");
            if link.cut.get() {
                std::future::pending::<()>().await;
            }
            let Some(handle) = handle else {
                link.refused.set(link.refused.get() + 1);
                return Err(refused);
            };
            let answer = handle.answer(&method, &body).await;
            if link.cut.get() {
                std::future::pending::<()>().await;
            }
            answer.unwrap_or(Err(refused))
        }
    };
    monoio::spawn(rpc::serve(listener, Journal::new(vm), handler));
    address
}
