//! Settings of the daemons of a fleet, which discover each other through seeds.
//!
//! A [`SettingsWatcher`] reloads a file that changes while the daemon runs, with
//! or without a signal. If the new settings are unreadable or invalid, the
//! previous ones stay in force.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::SettingsError;
use super::logging::Logging;
use crate::clock;
use crate::ids;

/// Interval at which the file is checked without a signal; must be well below the
/// time for which other processes keep using the previous seeds.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Default of [`EntrySettings::drain`].
pub const DEFAULT_DRAIN: Duration = Duration::from_secs(2);

/// Default of [`EntrySettings::evacuation`].
pub const DEFAULT_EVACUATION: Duration = Duration::from_secs(5);

/// Control VMs that may be lost at once if the settings don't say it.
const DEFAULT_LOST_VMS: u16 = 1;

/// Settings of a control VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlSettings {
    /// Name of this VM.
    pub vm: ids::VmName,
    /// Availability zone of this VM.
    pub zone: ids::ZoneName,
    /// Listen address for RPC between the daemons; the port is the same on every VM.
    pub peer: SocketAddr,
    /// Listen address for backend servers and operators.
    pub control: SocketAddr,
    /// Values of `control` of some control VMs, not all of which need to be running.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, so that a new cluster is formed.
    pub founding: bool,
    /// Data directory.
    pub data: PathBuf,
    /// Longest lease of a backend server.
    #[serde(with = "clock::text")]
    pub lease: Duration,
    /// What may be lost at the same time without a loss of data or service.
    #[serde(default)]
    pub tolerance: Option<Tolerance>,
    /// Log level and log file.
    #[serde(default)]
    pub log: Logging,
}

/// What may be lost at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tolerance {
    /// Number of control VMs, with their disks.
    #[serde(default)]
    pub vms: Option<u16>,
    /// Number of availability zones.
    #[serde(default)]
    pub zones: Option<u16>,
}

/// Settings of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySettings {
    /// Name of this VM.
    pub vm: ids::VmName,
    /// Availability zone of this VM.
    pub zone: ids::ZoneName,
    /// Listen address for RPC between the daemons; the port is the same on every VM.
    pub peer: SocketAddr,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// Values of `control` of some control VMs, not all of which need to be running.
    pub seeds: Vec<SocketAddr>,
    /// Retry budget.
    pub retries: Retries,
    /// Time from the stop signal until the process is killed.
    #[serde(with = "clock::text")]
    pub grace: Duration,
    /// How long a backend server that leaves may still get requests.
    #[serde(with = "clock::text", default = "default_drain")]
    pub drain: Duration,
    /// Time after which the servers of an evacuated zone get no more requests;
    /// [`DEFAULT_EVACUATION`] if absent or null.
    #[serde(
        default,
        with = "clock::optional_text",
        skip_serializing_if = "Option::is_none"
    )]
    pub evacuation: Option<Duration>,
    /// Log level and log file.
    #[serde(default)]
    pub log: Logging,
}

fn default_drain() -> Duration {
    DEFAULT_DRAIN
}

/// Retry budget of each service, for all entry VMs together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Retries {
    /// Retries as a fraction of the requests in a window.
    pub ratio: f64,
    /// Length of the window.
    #[serde(with = "clock::text")]
    pub window: Duration,
    /// Retries in a window that are allowed regardless of `ratio`.
    pub extra: f64,
}

impl Eq for Retries {}

impl ControlSettings {
    /// Number of control VMs that should vote: a majority survives what may be lost at once.
    ///
    /// A zone counts as one VM, since the voters are spread over the zones.
    pub fn voter_count(&self) -> usize {
        let Tolerance { vms, zones } = self.tolerance.unwrap_or_default();
        let lost = vms.max(zones).unwrap_or(DEFAULT_LOST_VMS);
        usize::from(lost).saturating_mul(2).saturating_add(1)
    }

    /// RPC addresses of the seeds.
    pub fn seeds(&self) -> impl Iterator<Item = SocketAddr> {
        rpc_addresses(&self.seeds, self.peer)
    }
}

impl EntrySettings {
    /// RPC addresses of the seeds.
    pub fn seeds(&self) -> impl Iterator<Item = SocketAddr> {
        rpc_addresses(&self.seeds, self.peer)
    }
}

fn rpc_addresses(seeds: &[SocketAddr], local: SocketAddr) -> impl Iterator<Item = SocketAddr> {
    let peer = move |seed: &SocketAddr| SocketAddr::new(seed.ip(), local.port());
    seeds.iter().map(peer)
}

/// Settings file with its initial content.
#[derive(Clone, Debug)]
pub struct SettingsFile<S> {
    path: Arc<Path>,
    text: Arc<str>,
    settings: S,
}

impl<S> SettingsFile<S>
where
    S: DeserializeOwned + Clone,
{
    /// Loads a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the path of the file and the reason.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file: Arc<str> = path.display().to_string().into();
        let text = fs::read_to_string(path).map_err(|e| SettingsError::Unreadable {
            file: Arc::clone(&file),
            cause: e.to_string().into(),
        })?;
        let parsed = super::parse(&text, |_, _| ());
        let settings = parsed.map_err(|findings| SettingsError::Invalid { file, findings })?;
        Ok(Self {
            path: path.into(),
            text: text.into(),
            settings,
        })
    }

    /// Settings as first loaded.
    pub fn initial(&self) -> &S {
        &self.settings
    }

    /// Starts watching the file for changes.
    pub fn watch(&self) -> SettingsWatcher {
        SettingsWatcher {
            path: Arc::clone(&self.path),
            text: Arc::clone(&self.text),
            last_check: clock::now(),
        }
    }
}

/// Detects changes of a settings file.
#[derive(Clone, Debug)]
pub struct SettingsWatcher {
    path: Arc<Path>,
    text: Arc<str>,
    last_check: Instant,
}

impl SettingsWatcher {
    /// Returns the new settings if the file has changed.
    ///
    /// The file is checked at once if `at_once` is set, otherwise once per interval.
    pub fn reload_if_changed<S>(&mut self, at_once: bool) -> Option<S>
    where
        S: DeserializeOwned,
    {
        if !at_once && clock::now() < self.last_check + CHECK_INTERVAL {
            return None;
        }
        self.last_check = clock::now();
        let text = match fs::read_to_string(&self.path) {
            Ok(text) if *text == *self.text => return None,
            Ok(text) => text,
            Err(error) => {
                log::warn!("event=settings.unreadable error={:?}", error.to_string());
                return None;
            }
        };
        self.text = text.as_str().into();
        match super::parse(&text, |_, _| ()) {
            Ok(settings) => Some(settings),
            Err(findings) => {
                log::warn!("event=settings.invalid findings={findings:?}");
                None
            }
        }
    }
}
