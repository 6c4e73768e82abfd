//! Settings of the daemons of a fleet, which find each other by a few seeds.
//!
//! The file may change while a daemon runs, with a signal or without, so a
//! [`SettingsFile`] reads it again. Settings that can't be read leave those before
//! them in force.

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

/// Time between looks at the file when no signal came: well below the time that
/// other processes go on with the seeds of before.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Settings of a control VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Control {
    /// Name of this VM.
    pub vm: ids::VmName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address for calls between processes; its port is the same on every VM.
    pub peer: SocketAddr,
    /// Address for backend servers and operators.
    pub control: SocketAddr,
    /// Control addresses of some control VMs, not all of which need be up.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub founding: bool,
    /// The data folder.
    pub data: PathBuf,
    /// Longest lease that backend servers take.
    #[serde(with = "clock::text")]
    pub lease: Duration,
    /// What is logged, and where.
    #[serde(default)]
    pub log: Logging,
}

/// Settings of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of this VM.
    pub vm: ids::VmName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Address for calls between processes; its port is the same on every VM.
    pub peer: SocketAddr,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address at which the balancer asks whether this VM is ready.
    pub ready: SocketAddr,
    /// Control addresses of some control VMs, not all of which need be up.
    pub seeds: Vec<SocketAddr>,
    /// What all entry VMs together may send again.
    pub retries: Retries,
    /// Time from a signal to stop until the process is killed.
    #[serde(with = "clock::text")]
    pub grace: Duration,
    /// What is logged, and where.
    #[serde(default)]
    pub log: Logging,
}

/// What all entry VMs together may send again, for each service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Retries {
    /// Part of the requests of a window.
    pub ratio: f64,
    /// The window.
    #[serde(with = "clock::text")]
    pub window: Duration,
    /// Requests sent again in a window whatever their part.
    pub extra: f64,
}

impl Eq for Retries {}

impl Control {
    /// Addresses of the seeds for calls between processes.
    pub fn seeds(&self) -> impl Iterator<Item = SocketAddr> {
        peers(&self.seeds, self.peer)
    }
}

impl Entry {
    /// Addresses of the seeds for calls between processes.
    pub fn seeds(&self) -> impl Iterator<Item = SocketAddr> {
        peers(&self.seeds, self.peer)
    }
}

fn peers(seeds: &[SocketAddr], own: SocketAddr) -> impl Iterator<Item = SocketAddr> {
    let peer = move |seed: &SocketAddr| SocketAddr::new(seed.ip(), own.port());
    seeds.iter().map(peer)
}

/// A settings file, and what it said first.
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
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the file and what is wrong with it.
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

    /// What the file said when it was first read.
    pub fn initial(&self) -> &S {
        &self.settings
    }

    /// Looks at the file from time to time.
    pub fn watch(&self) -> SettingsWatcher {
        SettingsWatcher {
            path: Arc::clone(&self.path),
            text: Arc::clone(&self.text),
            looked: clock::now(),
        }
    }
}

/// Notices that a settings file has changed.
#[derive(Clone, Debug)]
pub struct SettingsWatcher {
    path: Arc<Path>,
    text: Arc<str>,
    looked: Instant,
}

impl SettingsWatcher {
    /// The new settings, if the file has changed since the last look; `now` looks at once.
    pub fn reload_if_changed<S>(&mut self, now: bool) -> Option<S>
    where
        S: DeserializeOwned,
    {
        if !now && clock::now() < self.looked + LOOK_EVERY {
            return None;
        }
        self.looked = clock::now();
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
