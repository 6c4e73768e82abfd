//! Calls over loopback, and the replicated log with three members in one thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agateyoke::control::command::Command;
use agateyoke::control::state::State;
use agateyoke::log;
use agateyoke::rpc::{self, Fault, Peer, RpcResult};
use agateyoke::timeline::Journal;
use monoio::net::TcpListener;
use serde_json::json;
use serde_json::value::RawValue;

use super::control;
use super::line;
use super::rounded;

const MEMBERS: usize = 3;

/// Time that each figure is measured for.
const TIME: Duration = Duration::from_secs(2);

/// Pause after a step that failed.
const PAUSE: Duration = Duration::from_millis(20);

const TIMEOUT: Duration = Duration::from_secs(10);

type Slot = Rc<RefCell<Option<log::Handle>>>;

/// Calls on one connection; both ends run in this thread.
pub(crate) async fn calls() {
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
        return;
    };
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let echo = |_: Box<str>, body: Box<RawValue>| async move { Ok(body) };
    monoio::spawn(rpc::serve(listener, Journal::new("b".into()), echo));
    let peer = Peer::new(address, Journal::new("a".into()));
    let request = "x".repeat(200);
    for tasks in [1_u32, 64] {
        let (peer, request) = (peer.clone(), request.clone());
        let call = move || {
            let (peer, request) = (peer.clone(), request.clone());
            async move {
                let answer: Result<String, _> = peer.call("echo", &request, TIMEOUT).await;
                answer.is_ok()
            }
        };
        let cpu = cpu_s();
        let (done, took) = repeat(tasks, call).await;
        let spent = (cpu_s() - cpu) * 1e6 / f64::from(done);
        line(json!({
            "part": "call", "tasks": tasks, "body_bytes": 202,
            "calls_per_s": rounded(f64::from(done) / took),
            "cpu_us_both_ends": rounded(spent),
        }));
    }
}

/// Proposals and read barriers of a log whose three members sync to one disk.
pub(crate) async fn log() {
    for keeps in [false, true] {
        let Ok(folder) = tempfile::tempdir_in("target") else {
            return;
        };
        let members = members(folder.path(), keeps);
        propose(&members, keeps).await;
        if !keeps {
            barrier(&members).await;
        }
        members.iter().for_each(log::Handle::stop);
    }
}

/// Claims proposed, to a state that keeps them or to one that drops them.
async fn propose(members: &[log::Handle], keeps: bool) {
    let next = Rc::new(Cell::new(0_u64));
    for tasks in [1_u32, 16, 128, 1024] {
        let (leader, next) = (leader(members).await, Rc::clone(&next));
        let call = move || {
            let (leader, next) = (leader.clone(), Rc::clone(&next));
            async move {
                next.set(next.get() + 1);
                let command = Command::Claim(control::begin(next.get()));
                let payload = serde_json::to_vec(&command).unwrap_or_default();
                leader.propose(payload).await.is_ok()
            }
        };
        let cpu = cpu_s();
        let (done, took) = repeat(tasks, call).await;
        line(json!({
            "part": "propose", "tasks": tasks, "members": MEMBERS, "keeps_claims": keeps,
            "done": done,
            "proposals_per_s": rounded(f64::from(done) / took),
            "mean_ms": rounded(took * 1e3 * f64::from(tasks) / f64::from(done.max(1))),
            "cpu_us_all_members": rounded((cpu_s() - cpu) * 1e6 / f64::from(done.max(1))),
        }));
    }
}

async fn barrier(members: &[log::Handle]) {
    for tasks in [1_u32, 16, 128, 1024] {
        let leader = leader(members).await;
        let call = move || {
            let leader = leader.clone();
            async move { leader.read_barrier().await.is_ok() }
        };
        let cpu = cpu_s();
        let (done, took) = repeat(tasks, call).await;
        line(json!({
            "part": "barrier", "tasks": tasks, "members": MEMBERS,
            "barriers_per_s": rounded(f64::from(done) / took),
            "cpu_us_all_members": rounded((cpu_s() - cpu) * 1e6 / f64::from(done.max(1))),
        }));
    }
}

async fn leader(members: &[log::Handle]) -> log::Handle {
    loop {
        let leads = |h: &&log::Handle| h.leading_since().is_some();
        match members.iter().find(leads) {
            Some(handle) => return handle.clone(),
            None => monoio::time::sleep(PAUSE).await,
        }
    }
}

/// Repeats a step in so many tasks; how often it went well, and the time in seconds.
async fn repeat<S, F>(tasks: u32, step: S) -> (u32, f64)
where
    S: Fn() -> F + Clone + 'static,
    F: Future<Output = bool> + 'static,
{
    let begun = Instant::now();
    let run = |step: S| async move {
        let mut done = 0_u32;
        while begun.elapsed() < TIME {
            if step().await {
                done += 1;
            } else {
                monoio::time::sleep(PAUSE).await;
            }
        }
        done
    };
    let running: Vec<_> = (0..tasks)
        .map(|_| monoio::spawn(run(step.clone())))
        .collect();
    let mut done = 0;
    for task in running {
        done += task.await;
    }
    (done, begun.elapsed().as_secs_f64())
}

#[expect(clippy::expect_used, reason = "without the log there is no figure")]
fn members(folder: &std::path::Path, keeps: bool) -> Vec<log::Handle> {
    let slots: Vec<Slot> = (0..MEMBERS).map(|_| Slot::default()).collect();
    let name = |number: usize| format!("control-{number}");
    let served: Vec<_> = slots
        .iter()
        .enumerate()
        .map(|(number, slot)| log::Member {
            vm: name(number).into(),
            address: serve(slot, &name(number)).expect("a loopback port"),
        })
        .collect();
    let open = |(number, slot): (usize, &Slot)| {
        let config = log::Config {
            vm: name(number).into(),
            data_dir: folder.join(name(number)),
            members: served.clone(),
            discovery: None,
        };
        let journal = Journal::new(name(number).into());
        let machine = if keeps {
            State::default().machine()
        } else {
            empty()
        };
        let handle = log::open(config, machine, journal).expect("a folder");
        *slot.borrow_mut() = Some(handle.clone());
        handle
    };
    slots.iter().enumerate().map(open).collect()
}

/// A machine that keeps nothing.
fn empty() -> log::StateMachine {
    log::StateMachine {
        apply: Box::new(|_, _| Vec::new()),
        snapshot: Box::new(|| Box::new(|| Ok(Vec::new()))),
        restore: Box::new(|_, _| Ok(())),
    }
}

fn serve(slot: &Slot, vm: &str) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let slot = Rc::clone(slot);
    let handler = move |method: Box<str>, body: Box<RawValue>| {
        let handle = slot.borrow().clone();
        async move { answer(handle, &method, &body).await }
    };
    monoio::spawn(rpc::serve(listener, Journal::new(vm.into()), handler));
    Ok(address)
}

async fn answer(handle: Option<log::Handle>, method: &str, body: &RawValue) -> RpcResult {
    let refused = Fault::new(rpc::error::REFUSED, "not running");
    let Some(handle) = handle else {
        return Err(refused);
    };
    handle.answer(method, body).await.unwrap_or(Err(refused))
}

/// Processor time of this process, in seconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "seconds of one run are far below the limit"
)]
fn cpu_s() -> f64 {
    let mut usage = std::mem::MaybeUninit::<libc::rusage>::zeroed();
    // SAFETY: the pointer is valid, and zeroes are a valid `rusage`.
    let usage = unsafe {
        libc::getrusage(libc::RUSAGE_SELF, usage.as_mut_ptr());
        usage.assume_init()
    };
    let seconds = |t: libc::timeval| t.tv_sec as f64 + t.tv_usec as f64 / 1e6;
    seconds(usage.ru_utime) + seconds(usage.ru_stime)
}
