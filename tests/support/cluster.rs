//! A test cluster of real processes: control VMs, entry VMs and backend servers.
//!
//! Each cluster has its own loopback address and directory and ends only processes
//! that it started. If the test fails, the directory with all outputs is kept.

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

pub const CONTROL_VMS: u16 = 3;
pub const ENTRY_VMS: u16 = 4;

/// Longest wait for a condition; after it the test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for connecting and for each read of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Held by the one cluster that runs at a time in a test program.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

static CLUSTER_COUNT: AtomicU32 = AtomicU32::new(0);

/// Processes of one system on one loopback address.
pub struct Cluster {
    directory: Option<TempDir>,
    ip: String,
    commands: BTreeMap<String, Vec<String>>,
    running: BTreeMap<String, Child>,
    relays: BTreeMap<String, Relay>,
    _lock: MutexGuard<'static, ()>,
}

/// Response of an entry VM.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// One executed request, as recorded by a backend server.
#[derive(Clone, Debug, Deserialize)]
pub struct Execution {
    pub server: String,
    pub claim: Option<String>,
    pub method: String,
    pub path: String,
    pub hash: u64,
    pub fence: u64,
    pub wall_ms: u64,
}

impl Cluster {
    /// Starts three control VMs and four entry VMs in two availability zones.
    pub fn start() -> Self {
        let lock = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let (id, count) = (process::id(), CLUSTER_COUNT.fetch_add(1, Ordering::SeqCst));
        let ip = format!("127.{}.{}.{}", 1 + id / 250 % 90, id % 250 + 1, count + 1);
        let mut cluster = Self {
            directory: Some(tempfile::tempdir().unwrap()),
            ip,
            commands: BTreeMap::new(),
            running: BTreeMap::new(),
            relays: BTreeMap::new(),
            _lock: lock,
        };
        for i in 1..=CONTROL_VMS {
            cluster.start_control(i);
        }
        for i in 1..=ENTRY_VMS {
            cluster.start_entry(i);
        }
        cluster
    }

    /// Starts the VMs and two backend servers in each zone; waits until all keys are served.
    ///
    /// `edit_document` changes the first document, `backend_args` go to each backend server.
    pub fn start_serving(edit_document: impl Fn(&mut Value), backend_args: &[&str]) -> Self {
        let mut cluster = Self::start();
        for zone in ["galway", "cork"] {
            for n in 1..=2 {
                cluster.start_backend(zone, n, backend_args);
            }
        }
        let mut document = document();
        edit_document(&mut document);
        wait_until("the first document", || {
            cluster.apply(&document, 0, "first").status.success()
        });
        cluster.wait_until_serving();
        cluster
    }

    fn directory(&self) -> &Path {
        self.directory.as_ref().unwrap().path()
    }

    /// Path in the cluster's directory.
    pub fn path(&self, name: &str) -> PathBuf {
        self.directory().join(name)
    }

    /// Address of this cluster at a port.
    pub fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    fn start_control(&mut self, i: u16) {
        let members: Vec<Value> = (1..=CONTROL_VMS)
            .map(|m| json!({ "vm": format!("control-{m}"), "peer": self.address(7100 + m) }))
            .collect();
        let name = format!("control-{i}");
        let zone = ["galway", "cork", "dublin"].get(usize::from(i - 1));
        let settings = json!({
            "vm": name,
            "zone": zone,
            "peer": self.address(7100 + i),
            "operator": self.address(7110 + i),
            "data": self.path(&format!("{name}.data")),
            "members": members,
        });
        self.start_daemon(&name, env!("CARGO_BIN_EXE_agateyoke-control"), &settings);
    }

    /// Starts an entry VM that reaches control VMs and other entry VMs through relays.
    fn start_entry(&mut self, i: u16) {
        let name = format!("entry-{i}");
        let mut members = Vec::new();
        for m in 1..=CONTROL_VMS {
            let relay =
                self.start_relay(&format!("{name}-control-{m}"), 7400 + 10 * i + m, 7100 + m);
            members.push(json!({ "vm": format!("control-{m}"), "peer": relay }));
        }
        let settings = json!({
            "vm": name,
            "zone": if i <= 2 { "galway" } else { "cork" },
            "callers": self.address(7200 + i),
            "announce": self.address(7210 + i),
            "peer": self.address(7220 + i),
            "advertise": self.start_relay(&name, 7400 + i, 7220 + i),
            "operator": self.address(7230 + i),
            "control": members,
        });
        self.start_daemon(&name, env!("CARGO_BIN_EXE_agateyoke-entry"), &settings);
    }

    fn start_relay(&mut self, name: &str, port: u16, target: u16) -> SocketAddr {
        let relay = Relay::start(self.address(port), self.address(target));
        let address = relay.address();
        self.relays.insert(name.to_owned(), relay);
        address
    }

    /// Relay by name: `entry-1` carries all connections to the peer port of that VM,
    /// `entry-1-control-2` those from entry VM 1 to control VM 2.
    pub fn relay(&self, name: &str) -> &Relay {
        self.relays.get(name).unwrap()
    }

    fn start_daemon(&mut self, name: &str, program: &str, settings: &Value) {
        let file = self.path(&format!("{name}.json"));
        fs::write(&file, settings.to_string()).unwrap();
        let command = [program, file.to_str().unwrap()].map(str::to_owned);
        self.commands.insert(name.to_owned(), command.into());
        self.launch(name);
    }

    /// Starts the n-th backend server of a zone; returns its name.
    pub fn start_backend(&mut self, zone: &str, n: u16, backend_args: &[&str]) -> String {
        let name = format!("{zone}-{n}");
        let first = if zone == "galway" { 1 } else { 3 };
        let listen = self.address(7300 + 10 * first + n).to_string();
        let entries = format!(
            "{},{}",
            self.address(7210 + first),
            self.address(7211 + first)
        );
        let record = self.path(&format!("{name}.runs"));
        let program = Path::new(env!("CARGO_BIN_EXE_agateyoke")).with_file_name("examples/backend");
        let args = [
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
        let command = args.iter().chain(backend_args).map(|a| (*a).to_owned());
        self.commands.insert(name.clone(), command.collect());
        self.launch(&name);
        name
    }

    /// Starts a process, again if it was started before, with the same command line; appends to its
    /// output file.
    pub fn launch(&mut self, name: &str) {
        let output = self.path(&format!("{name}.out"));
        let output = File::options()
            .create(true)
            .append(true)
            .open(output)
            .unwrap();
        let (program, args) = self.commands.get(name).unwrap().split_first().unwrap();
        let child = Command::new(program)
            .args(args)
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        self.running.insert(name.to_owned(), child);
    }

    /// Process id of a running process.
    pub fn pid(&self, name: &str) -> u32 {
        self.running.get(name).unwrap().id()
    }

    /// Sends a signal to a process of this cluster.
    pub fn signal(&self, name: &str, signal: libc::c_int) {
        let id = libc::pid_t::try_from(self.pid(name)).unwrap();
        // SAFETY: a signal to a child that has not been waited for.
        assert_eq!(unsafe { libc::kill(id, signal) }, 0);
    }

    /// Kills a process with `SIGKILL` and waits for its end.
    pub fn kill(&mut self, name: &str) {
        self.signal(name, libc::SIGKILL);
        self.wait_for_exit(name);
    }

    /// Waits until a process has ended; returns its exit status.
    pub fn wait_for_exit(&mut self, name: &str) -> ExitStatus {
        let child = self.running.get_mut(name).unwrap();
        let mut status = None;
        wait_until(&format!("the end of {name}"), || {
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
    pub fn run_client(&self, args: &[&str]) -> Output {
        let control: Vec<String> = (1..=CONTROL_VMS)
            .map(|i| self.address(7110 + i).to_string())
            .collect();
        Command::new(env!("CARGO_BIN_EXE_agateyoke"))
            .env("AGATEYOKE_CONTROL", control.join(","))
            .current_dir(self.directory())
            .args(args)
            .output()
            .unwrap()
    }

    /// Applies a document by the operators' client.
    pub fn apply(&self, document: &Value, base: u64, change: &str) -> Output {
        let file = format!("{change}.json");
        fs::write(self.path(&file), document.to_string()).unwrap();
        let base = base.to_string();
        let args = [
            "apply", &file, "--base", &base, "--change", change, "--author", "ines",
        ];
        self.run_client(&args)
    }

    /// Status of the whole system from the leader; `None` without a leader.
    pub fn status(&self) -> Option<api::Status> {
        let output = self.run_client(&["--json", "status"]);
        serde_json::from_slice(&output.stdout).ok()
    }

    /// Name of the leading control VM; waits until there is one.
    pub fn leader(&self) -> String {
        let mut leader = None;
        wait_until("a leader", || {
            let members = self.status().map(|s| s.control).unwrap_or_default();
            leader = members
                .iter()
                .find(|m| &*m.role == "leader")
                .map(|m| m.vm.to_string());
            leader.is_some()
        });
        leader.unwrap()
    }

    /// Name of the primary of a zone; waits until there is one.
    pub fn primary(&self, zone: &str) -> String {
        let mut primary = None;
        wait_until("a primary", || {
            let services = self.status().map(|s| s.services).unwrap_or_default();
            let zones = services.iter().flat_map(|s| &s.zones);
            primary = zones
                .into_iter()
                .find(|z| &*z.zone == zone)
                .map(|z| z.primary.to_string());
            primary.is_some()
        });
        primary.unwrap()
    }

    /// Waits until both zones serve and no key is unrouted.
    pub fn wait_until_serving(&self) {
        wait_until("all keys are served", || {
            let services = self.status().map(|s| s.services).unwrap_or_default();
            let is_served = |s: &api::ServiceStatus| {
                s.unrouted.is_empty() && s.lagging.is_empty() && s.zones.len() == 2
            };
            !services.is_empty() && services.iter().all(is_served)
        });
    }

    /// Address of an entry VM for callers.
    pub fn caller_address(&self, entry: &str) -> SocketAddr {
        let i: u16 = entry.trim_start_matches("entry-").parse().unwrap();
        self.address(7200 + i)
    }

    /// Sends a lookup of a locker.
    pub fn lookup(&self, entry: &str, locker: &str) -> io::Result<Response> {
        send_request(
            self.caller_address(entry),
            "GET",
            &format!("/lockers/{locker}"),
            None,
        )
    }

    /// Sends a release of a locker.
    pub fn release(&self, entry: &str, locker: &str, claim: &str) -> io::Result<Response> {
        let path = format!("/lockers/{locker}/release");
        send_request(self.caller_address(entry), "POST", &path, Some(claim))
    }

    /// Injects faults into a backend server.
    pub fn inject_faults(&self, port: u16, faults: &str) {
        let mut stream = TcpStream::connect(self.address(port)).unwrap();
        let length = faults.len();
        let head = "POST /_stand-in HTTP/1.1\r\nhost: x\r\nconnection: close";
        write!(stream, "{head}\r\ncontent-length: {length}\r\n\r\n{faults}").unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }

    /// All executed requests, by time and fence.
    pub fn executions(&self) -> Vec<Execution> {
        let mut executions = Vec::new();
        for name in self.commands.keys() {
            let text = fs::read_to_string(self.path(&format!("{name}.runs"))).unwrap_or_default();
            // A killed process may leave an incomplete last line.
            executions.extend(
                text.lines()
                    .filter_map(|l| serde_json::from_str::<Execution>(l).ok()),
            );
        }
        executions.sort_by_key(|r| (r.wall_ms, r.fence));
        executions
    }

    /// Checks for each key that fences never decrease in the order of execution.
    pub fn assert_fences_never_decrease(&self) {
        let mut last: BTreeMap<u64, Execution> = BTreeMap::new();
        for execution in self.executions() {
            if let Some(before) = last.get(&execution.hash) {
                assert!(
                    before.fence <= execution.fence,
                    "{before:?} came before {execution:?}"
                );
            }
            last.insert(execution.hash, execution);
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if thread::panicking() {
            let directory = self.directory.take().map(TempDir::keep);
            eprintln!("outputs of the processes: {directory:?}");
        }
    }
}

impl Response {
    /// Value of a response header; `-` if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("-", String::as_str)
    }

    /// Verdict: whether the request ran.
    pub fn verdict(&self) -> &str {
        self.header("agateyoke-verdict")
    }

    /// Backend server that responded; `-` if none did.
    pub fn server(&self) -> &str {
        self.header("agateyoke-server")
    }
}

/// Document whose limits let requests wait for an owner instead of failing.
pub fn document() -> Value {
    let text = include_str!("../../examples/documents/kiosk-core.json");
    let mut document: Value = serde_json::from_str(text).unwrap();
    for route in document
        .get_mut("routes")
        .and_then(Value::as_array_mut)
        .unwrap()
    {
        set_number(route, "deadline_ms", 6000);
    }
    let limits = document.get_mut("limits").unwrap();
    set_number(limits, "queue_ms", 5000);
    set_number(limits, "queue", 1000);
    set_number(limits, "retry_percent", 100);
    document
}

/// Sets a number in a JSON object.
pub fn set_number(object: &mut Value, name: &str, value: u64) {
    object
        .as_object_mut()
        .unwrap()
        .insert(name.to_owned(), value.into());
}

/// Waits for a condition; fails the test with `what` after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a request on a new connection and reads the whole response.
pub fn send_request(
    to: SocketAddr,
    method: &str,
    path: &str,
    claim: Option<&str>,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&to, RESPONSE_TIMEOUT)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    let claim = claim.map_or_else(String::new, |c| format!("agateyoke-claim: {c}\r\n"));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: kiosk-core\r\nconnection: close\r\n\
         content-length: 0\r\n{claim}\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    parse_response(&response).ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, response))
}

/// Parses a response; `None` if it is incomplete.
fn parse_response(text: &str) -> Option<Response> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let fields = lines.filter_map(|l| l.split_once(": "));
    let headers: BTreeMap<String, String> = fields
        .map(|(n, v)| (n.to_ascii_lowercase(), v.to_owned()))
        .collect();
    let length: usize = headers.get("content-length")?.parse().ok()?;
    (body.len() == length).then(|| Response {
        status,
        headers,
        body: body.to_owned(),
    })
}
