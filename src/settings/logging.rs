//! Log of a daemon: one line of key=value pairs for each event.

use std::fmt;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;
use serde::{Deserialize, Serialize};

use crate::fields::{Fields, Report};

/// Format of a line; the message consists of key=value pairs too.
const LINE_PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

const APPENDER_NAME: &str = "daemon";

const LEVEL_NAMES: [&str; 5] = ["off", "error", "warn", "info", "debug"];

/// Log level and log file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logging {
    /// Least severe level that is logged.
    pub level: Level,
    /// File to append to; standard output if absent.
    pub file: Option<PathBuf>,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing.
    Off,
    /// Errors.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also the events of the time line.
    #[default]
    Info,
    /// Everything.
    Debug,
}

/// Why the logger cannot be initialized.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoggingError {
    /// The log file cannot be opened.
    File {
        /// Path of the file.
        file: Arc<str>,
        /// Error of the operating system.
        cause: Arc<str>,
    },
    /// The logger of this process is already initialized.
    AlreadyInitialized,
}

impl fmt::Display for LoggingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { file, cause } => write!(f, "{file}: can't be opened: {cause}"),
            Self::AlreadyInitialized => f.write_str("the logger is already initialized"),
        }
    }
}

/// Initializes the logger of this process.
pub fn init(logging: &Logging) -> Result<(), LoggingError> {
    let appender = appender(logging).map_err(|e| LoggingError::File {
        file: logging
            .file
            .as_ref()
            .map_or("stdout".into(), |f| f.display().to_string().into()),
        cause: e.to_string().into(),
    })?;
    let root = Root::builder()
        .appender(APPENDER_NAME)
        .build(logging.level.filter());
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER_NAME, appender))
        .build(root)
        .map_err(|_| LoggingError::AlreadyInitialized)?;
    log4rs::init_config(config)
        .map(drop)
        .map_err(|_| LoggingError::AlreadyInitialized)
}

impl Level {
    const fn filter(self) -> LevelFilter {
        match self {
            Self::Off => LevelFilter::Off,
            Self::Error => LevelFilter::Error,
            Self::Warn => LevelFilter::Warn,
            Self::Info => LevelFilter::Info,
            Self::Debug => LevelFilter::Debug,
        }
    }
}

pub(super) fn check(report: &Report, fields: &Fields<'_>) {
    let Some(value) = fields.optional("log") else {
        return;
    };
    let Some(log) = Fields::new(report, "log", value, &["level", "file"]) else {
        return;
    };
    if log.optional("level").is_some() {
        log.keyword("level", &LEVEL_NAMES);
    }
    if log.optional("file").is_some() {
        log.text("file", "the path of a file", |text| !text.is_empty());
    }
}

fn appender(logging: &Logging) -> io::Result<Box<dyn Append>> {
    let encoder = Box::new(PatternEncoder::new(LINE_PATTERN));
    Ok(match &logging.file {
        Some(file) => Box::new(FileAppender::builder().encoder(encoder).build(file)?),
        None => Box::new(ConsoleAppender::builder().encoder(encoder).build()),
    })
}
