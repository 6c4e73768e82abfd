//! RPC calls over loopback, and the replicated log with three members on one thread.

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
use super::print_line;
use super::round;

const MEMBERS: usize = 3;

/// Time of each measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(2);

/// Delay before the retry of a failed step.
const RETRY_DELAY: Duration = Duration::from_millis(20);

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

type HandleSlot = Rc<RefCell<Option<log::Handle>>>;

/// Measures calls on one connection; both ends run on this thread.
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
                let response: Result<String, _> = peer.call("echo", &request, CALL_TIMEOUT).await;
                response.is_ok()
            }
        };
        let cpu_start_s = cpu_s();
        let (done, seconds) = run_tasks(tasks, call).await;
        let cpu_us = (cpu_s() - cpu_start_s) * 1e6 / f64::from(done);
        print_line(json!({
            "part": "call", "tasks": tasks, "body_bytes": 202,
            "calls_per_s": round(f64::from(done) / seconds),
            "cpu_us_both_ends": round(cpu_us),
        }));
    }
}

/// Measures proposals and read barriers of a log whose three members sync to one disk.
pub(crate) async fn log() {
    for keeps_claims in [false, true] {
        let Ok(directory) = tempfile::tempdir_in("target") else {
            return;
        };
        let members = open_members(directory.path(), keeps_claims);
        propose(&members, keeps_claims).await;
        if !keeps_claims {
            barrier(&members).await;
        }
        members.iter().for_each(log::Handle::stop);
    }
}

/// Measures proposals of claims to a state machine that keeps the claims or discards them.
async fn propose(members: &[log::Handle], keeps_claims: bool) {
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
        let cpu_start_s = cpu_s();
        let (done, seconds) = run_tasks(tasks, call).await;
        print_line(json!({
            "part": "propose", "tasks": tasks, "members": MEMBERS, "keeps_claims": keeps_claims,
            "done": done,
            "proposals_per_s": round(f64::from(done) / seconds),
            "mean_ms": round(seconds * 1e3 * f64::from(tasks) / f64::from(done.max(1))),
            "cpu_us_all_members": round((cpu_s() - cpu_start_s) * 1e6 / f64::from(done.max(1))),
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
        let cpu_start_s = cpu_s();
        let (done, seconds) = run_tasks(tasks, call).await;
        print_line(json!({
            "part": "barrier", "tasks": tasks, "members": MEMBERS,
            "barriers_per_s": round(f64::from(done) / seconds),
            "cpu_us_all_members": round((cpu_s() - cpu_start_s) * 1e6 / f64::from(done.max(1))),
        }));
    }
}

async fn leader(members: &[log::Handle]) -> log::Handle {
    loop {
        let is_leader = |h: &&log::Handle| h.leading_since().is_some();
        match members.iter().find(is_leader) {
            Some(handle) => return handle.clone(),
            None => monoio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Repeats a step in each of `tasks` tasks; returns the number of successes and the time in seconds.
async fn run_tasks<S, F>(tasks: u32, step: S) -> (u32, f64)
where
    S: Fn() -> F + Clone + 'static,
    F: Future<Output = bool> + 'static,
{
    let started = Instant::now();
    let run_task = |step: S| async move {
        let mut done = 0_u32;
        while started.elapsed() < MEASUREMENT_TIME {
            if step().await {
                done += 1;
            } else {
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
        done
    };
    let handles: Vec<_> = (0..tasks)
        .map(|_| monoio::spawn(run_task(step.clone())))
        .collect();
    let mut done = 0;
    for task in handles {
        done += task.await;
    }
    (done, started.elapsed().as_secs_f64())
}

#[expect(
    clippy::expect_used,
    reason = "nothing can be measured without the log"
)]
fn open_members(directory: &std::path::Path, keeps_claims: bool) -> Vec<log::Handle> {
    let slots: Vec<HandleSlot> = (0..MEMBERS).map(|_| HandleSlot::default()).collect();
    let name = |number: usize| format!("control-{number}");
    let members: Vec<_> = slots
        .iter()
        .enumerate()
        .map(|(number, slot)| log::Member {
            vm: name(number).into(),
            address: serve_member(slot, &name(number)).expect("a loopback port"),
        })
        .collect();
    let open = |(number, slot): (usize, &HandleSlot)| {
        let config = log::Config {
            vm: name(number).into(),
            data_dir: directory.join(name(number)),
            members: members.clone(),
            discovery: None,
        };
        let journal = Journal::new(name(number).into());
        let machine = if keeps_claims {
            State::default().state_machine()
        } else {
            discarding_machine()
        };
        let handle = log::open(config, machine, journal).expect("a directory");
        *slot.borrow_mut() = Some(handle.clone());
        handle
    };
    slots.iter().enumerate().map(open).collect()
}

/// State machine that discards all commands.
fn discarding_machine() -> log::StateMachine {
    log::StateMachine {
        apply: Box::new(|_, _| Vec::new()),
        snapshot: Box::new(|| Box::new(|| Ok(Vec::new()))),
        restore: Box::new(|_, _| Ok(())),
    }
}

fn serve_member(slot: &HandleSlot, vm: &str) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let slot = Rc::clone(slot);
    let handler = move |method: Box<str>, body: Box<RawValue>| {
        let handle = slot.borrow().clone();
        async move { handle_call(handle, &method, &body).await }
    };
    monoio::spawn(rpc::serve(listener, Journal::new(vm.into()), handler));
    Ok(address)
}

async fn handle_call(handle: Option<log::Handle>, method: &str, body: &RawValue) -> RpcResult {
    let refused = Fault::new(rpc::error::REFUSED, "not running");
    let Some(handle) = handle else {
        return Err(refused);
    };
    handle.answer(method, body).await.unwrap_or(Err(refused))
}

/// CPU time of this process, in seconds.
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
