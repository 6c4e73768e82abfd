//! A small system of real processes: control VMs, entry VMs, backend servers.
//!
//! Each fleet has a loopback address and a folder of its own, and ends only
//! what it started. If the test fails, the folder with all outputs stays.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use agateyoke::control::api;
use serde::Deserialize;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::Relay;

pub const CONTROLS: u16 = 3;
pub const ENTRIES: u16 = 4;

/// Longest wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Time between looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// Longest wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// One fleet at a time in each test program.
static TURN: Mutex<()> = Mutex::new(());

static FLEETS: AtomicU32 = AtomicU32::new(0);

/// Real processes on one loopback address.
pub struct Fleet {
    folder: Option<TempDir>,
    ip: String,
    commands: BTreeMap<String, Vec<String>>,
    running: BTreeMap<String, Child>,
    relays: BTreeMap<String, Relay>,
    _turn: MutexGuard<'static, ()>,
}

/// Answer of an entry VM.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// One request that ran, as a backend server recorded it.
#[derive(Clone, Debug, Deserialize)]
pub struct Run {
    pub server: String,
    pub claim: Option<String>,
    pub method: String,
    pub path: String,
    pub hash: u64,
    pub fence: u64,
    pub wall_ms: u64,
}

impl Fleet {
    /// Starts three control VMs and four entry VMs in two availability zones.
    pub fn start() -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let (id, count) = (process::id(), FLEETS.fetch_add(1, Ordering::SeqCst));
        let ip = format!("127.{}.{}.{}", 1 + id / 250 % 90, id % 250 + 1, count + 1);
        let mut fleet = Self {
            folder: Some(tempfile::tempdir().unwrap()),
            ip,
            commands: BTreeMap::new(),
            running: BTreeMap::new(),
            relays: BTreeMap::new(),
            _turn: turn,
        };
        for i in 1..=CONTROLS {
            fleet.control(i);
        }
        for i in 1..=ENTRIES {
            fleet.entry(i);
        }
        fleet
    }

    /// Starts them with two backend servers in each zone; waits until all keys are served.
    pub fn serving(change: impl Fn(&mut Value), more: &[&str]) -> Self {
        let mut fleet = Self::start();
        for zone in ["galway", "cork"] {
            for n in 1..=2 {
                fleet.backend(zone, n, more);
            }
        }
        let mut document = document();
        change(&mut document);
        until("the first document", || {
            fleet.apply(&document, 0, "first").status.success()
        });
        fleet.settled();
        fleet
    }

    fn folder(&self) -> &Path {
        self.folder.as_ref().unwrap().path()
    }

    /// File or folder of a process.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder().join(name)
    }

    /// Address of this fleet at a port.
    pub fn at(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    fn control(&mut self, i: u16) {
        let members: Vec<Value> = (1..=CONTROLS)
            .map(|m| json!({ "vm": format!("control-{m}"), "peer": self.at(7100 + m) }))
            .collect();
        let name = format!("control-{i}");
        let zone = ["galway", "cork", "dublin"].get(usize::from(i - 1));
        let settings = json!({
            "vm": name,
            "zone": zone,
            "peer": self.at(7100 + i),
            "operator": self.at(7110 + i),
            "data": self.path(&format!("{name}.data")),
            "members": members,
        });
        self.daemon(&name, env!("CARGO_BIN_EXE_agateyoke-control"), &settings);
    }

    /// Entry VMs reach control VMs, and each other, through relays.
    fn entry(&mut self, i: u16) {
        let name = format!("entry-{i}");
        let mut members = Vec::new();
        for m in 1..=CONTROLS {
            let relay = self.relay(&format!("{name}-control-{m}"), 7400 + 10 * i + m, 7100 + m);
            members.push(json!({ "vm": format!("control-{m}"), "peer": relay }));
        }
        let settings = json!({
            "vm": name,
            "zone": if i <= 2 { "galway" } else { "cork" },
            "callers": self.at(7200 + i),
            "announce": self.at(7210 + i),
            "peer": self.at(7220 + i),
            "advertise": self.relay(&name, 7400 + i, 7220 + i),
            "operator": self.at(7230 + i),
            "control": members,
        });
        self.daemon(&name, env!("CARGO_BIN_EXE_agateyoke-entry"), &settings);
    }

    fn relay(&mut self, name: &str, port: u16, target: u16) -> SocketAddr {
        let relay = Relay::start(self.at(port), self.at(target));
        let address = relay.address();
        self.relays.insert(name.to_owned(), relay);
        address
    }

    /// A relay: `entry-1` is all ways to its peer port, `entry-1-control-2` one way.
    pub fn link(&self, name: &str) -> &Relay {
        self.relays.get(name).unwrap()
    }

    fn daemon(&mut self, name: &str, program: &str, settings: &Value) {
        let file = self.path(&format!("{name}.json"));
        fs::write(&file, settings.to_string()).unwrap();
        let command = [program, file.to_str().unwrap()].map(str::to_owned);
        self.commands.insert(name.to_owned(), command.into());
        self.launch(name);
    }

    /// Starts the n-th backend server of a zone; gives its name.
    pub fn backend(&mut self, zone: &str, n: u16, more: &[&str]) -> String {
        let name = format!("{zone}-{n}");
        let first = if zone == "galway" { 1 } else { 3 };
        let listen = self.at(7300 + 10 * first + n).to_string();
        let entries = format!("{},{}", self.at(7210 + first), self.at(7211 + first));
        let record = self.path(&format!("{name}.runs"));
        let program = Path::new(env!("CARGO_BIN_EXE_agateyoke")).with_file_name("examples/backend");
        let words = [
            program.to_str().unwrap(),
            "--name",
            &name,
            "--service",
            "kiosk-core",
            "--zone",
            zone,
            "--listen",
            &listen,
            "--entry",
            &entries,
            "--record",
            record.to_str().unwrap(),
        ];
        let command = words.iter().chain(more).map(|w| (*w).to_owned());
        self.commands.insert(name.clone(), command.collect());
        self.launch(&name);
        name
    }

    /// Starts a process as it was started before.
    pub fn launch(&mut self, name: &str) {
        let output = self.path(&format!("{name}.out"));
        let output = File::options()
            .create(true)
            .append(true)
            .open(output)
            .unwrap();
        let (program, words) = self.commands.get(name).unwrap().split_first().unwrap();
        let child = Command::new(program)
            .args(words)
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        self.running.insert(name.to_owned(), child);
    }

    /// Process id.
    pub fn pid(&self, name: &str) -> u32 {
        self.running.get(name).unwrap().id()
    }

    /// Sends a signal to a process of this fleet.
    pub fn signal(&self, name: &str, signal: libc::c_int) {
        let id = libc::pid_t::try_from(self.pid(name)).unwrap();
        // SAFETY: a signal to a child that has not been waited for.
        assert_eq!(unsafe { libc::kill(id, signal) }, 0);
    }

    /// Kills a process at once.
    pub fn kill(&mut self, name: &str) {
        self.signal(name, libc::SIGKILL);
        self.ended(name);
    }

    /// Waits until a process has ended.
    pub fn ended(&mut self, name: &str) -> ExitStatus {
        let child = self.running.get_mut(name).unwrap();
        let mut status = None;
        until(&format!("the end of {name}"), || {
            status = child.try_wait().unwrap();
            status.is_some()
        });
        self.running.remove(name);
        status.unwrap()
    }

    /// Whether a process still runs.
    pub fn is_running(&mut self, name: &str) -> bool {
        self.running
            .get_mut(name)
            .unwrap()
            .try_wait()
            .unwrap()
            .is_none()
    }

    /// Runs the operators' client.
    pub fn client(&self, words: &[&str]) -> Output {
        let control: Vec<String> = (1..=CONTROLS)
            .map(|i| self.at(7110 + i).to_string())
            .collect();
        Command::new(env!("CARGO_BIN_EXE_agateyoke"))
            .env("AGATEYOKE_CONTROL", control.join(","))
            .current_dir(self.folder())
            .args(words)
            .output()
            .unwrap()
    }

    /// Puts a document into force.
    pub fn apply(&self, document: &Value, base: u64, change: &str) -> Output {
        let file = format!("{change}.json");
        fs::write(self.path(&file), document.to_string()).unwrap();
        let base = base.to_string();
        let words = [
            "apply", &file, "--base", &base, "--change", change, "--author", "ines",
        ];
        self.client(&words)
    }

    /// What the leader says of the whole system; `None` without a leader.
    pub fn status(&self) -> Option<api::Status> {
        let output = self.client(&["--json", "status"]);
        serde_json::from_slice(&output.stdout).ok()
    }

    /// The leading control VM.
    pub fn leader(&self) -> String {
        let mut leader = None;
        until("a leader", || {
            let members = self.status().map(|s| s.control).unwrap_or_default();
            leader = members
                .iter()
                .find(|m| &*m.role == "leader")
                .map(|m| m.vm.to_string());
            leader.is_some()
        });
        leader.unwrap()
    }

    /// The entry VM that grants in a zone.
    pub fn carrier(&self, zone: &str) -> String {
        let mut carrier = None;
        until("a carrier", || {
            let services = self.status().map(|s| s.services).unwrap_or_default();
            let zones = services.iter().flat_map(|s| &s.zones);
            carrier = zones
                .into_iter()
                .find(|z| &*z.zone == zone)
                .map(|z| z.primary.to_string());
            carrier.is_some()
        });
        carrier.unwrap()
    }

    /// Waits until both zones serve and no key is dark.
    pub fn settled(&self) {
        until("all keys are served", || {
            let services = self.status().map(|s| s.services).unwrap_or_default();
            let is_served = |s: &api::ServiceStatus| {
                s.unrouted.is_empty() && s.lagging.is_empty() && s.zones.len() == 2
            };
            !services.is_empty() && services.iter().all(is_served)
        });
    }

    /// Callers' address of an entry VM.
    pub fn callers(&self, entry: &str) -> SocketAddr {
        let i: u16 = entry.trim_start_matches("entry-").parse().unwrap();
        self.at(7200 + i)
    }

    /// Sends a lookup of a locker.
    pub fn look(&self, entry: &str, locker: &str) -> io::Result<Reply> {
        send(
            self.callers(entry),
            "GET",
            &format!("/lockers/{locker}"),
            None,
        )
    }

    /// Sends a release of a locker.
    pub fn release(&self, entry: &str, locker: &str, claim: &str) -> io::Result<Reply> {
        let path = format!("/lockers/{locker}/release");
        send(self.callers(entry), "POST", &path, Some(claim))
    }

    /// All requests that ran, by time.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for name in self.commands.keys() {
            let text = fs::read_to_string(self.path(&format!("{name}.runs"))).unwrap_or_default();
            // A process that was killed may have left half a line.
            runs.extend(
                text.lines()
                    .filter_map(|l| serde_json::from_str::<Run>(l).ok()),
            );
        }
        runs.sort_by_key(|r| (r.wall_ms, r.fence));
        runs
    }

    /// For each key, fences never go down.
    pub fn assert_fences(&self) {
        let mut last: BTreeMap<u64, Run> = BTreeMap::new();
        for run in self.runs() {
            if let Some(before) = last.get(&run.hash) {
                assert!(before.fence <= run.fence, "{before:?} came before {run:?}");
            }
            last.insert(run.hash, run);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if thread::panicking() {
            let folder = self.folder.take().map(TempDir::keep);
            eprintln!("outputs of the processes: {folder:?}");
        }
    }
}

impl Reply {
    /// A header of the answer.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("-", String::as_str)
    }

    /// Whether the request may have run.
    pub fn verdict(&self) -> &str {
        self.header("agateyoke-verdict")
    }

    /// Backend server that answered.
    pub fn server(&self) -> &str {
        self.header("agateyoke-server")
    }
}

/// The document of the tests: requests wait for an owner instead of failing.
pub fn document() -> Value {
    let text = include_str!("../../examples/documents/kiosk-core.json");
    let mut document: Value = serde_json::from_str(text).unwrap();
    for route in document
        .get_mut("routes")
        .and_then(Value::as_array_mut)
        .unwrap()
    {
        set(route, "deadline_ms", 6000);
    }
    let limits = document.get_mut("limits").unwrap();
    set(limits, "queue_ms", 5000);
    set(limits, "queue", 1000);
    set(limits, "retry_percent", 100);
    document
}

/// Sets a number in an object.
pub fn set(object: &mut Value, name: &str, value: u64) {
    object
        .as_object_mut()
        .unwrap()
        .insert(name.to_owned(), value.into());
}

/// Waits for a condition.
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_LIMIT, "waited in vain for {what}");
        thread::sleep(LOOK);
    }
}

/// Sends a request on a new connection and reads the whole answer.
pub fn send(to: SocketAddr, method: &str, path: &str, claim: Option<&str>) -> io::Result<Reply> {
    let mut stream = TcpStream::connect_timeout(&to, ANSWER_LIMIT)?;
    stream.set_read_timeout(Some(ANSWER_LIMIT))?;
    let claim = claim.map_or_else(String::new, |c| format!("agateyoke-claim: {c}\r\n"));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: kiosk-core\r\nconnection: close\r\n\
         content-length: 0\r\n{claim}\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    parse(&answer).ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, answer))
}

/// Reads a whole answer; `None` if a part of it is missing.
fn parse(answer: &str) -> Option<Reply> {
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let fields = lines.filter_map(|l| l.split_once(": "));
    let headers: BTreeMap<String, String> = fields
        .map(|(n, v)| (n.to_ascii_lowercase(), v.to_owned()))
        .collect();
    let length: usize = headers.get("content-length")?.parse().ok()?;
    (body.len() == length).then(|| Reply {
        status,
        headers,
        body: body.to_owned(),
    })
}
