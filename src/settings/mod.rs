//! The settings of one daemon: a file of JSON with comments, checked as a whole.
//!
//! A faulty file is reported with all its faults at once, each with its path, its line, what was
//! found and what is accepted. The settings hold no secret, only where to find one.

mod kind;
mod load;
mod read;
mod secret;

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::Duration, //
};

use error_stack::Report;
use log::LevelFilter;

use crate::model::{
    DaemonId,
    DataCentre, //
};

pub use read::SettingFault;
pub(crate) use read::dialect;
pub use secret::{
    Secret,
    SecretSource, //
};

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Which daemon this is.
    pub daemon: Daemon,
    /// Interface to callers.
    pub caller: Caller,
    /// Interface to operators.
    pub admin: Admin,
    /// The platform.
    pub platform: Platform,
    /// Links to other daemons.
    pub peer: Peers,
    /// Defaults for budgets that set nothing themselves.
    pub budget: BudgetDefaults,
    /// Bounds of the queues of a service.
    pub queue: Queues,
    /// Export of traces.
    pub trace: Trace,
    /// Most detailed level that is logged.
    pub log: LevelFilter,
}

/// The faults of a report in the order of their lines.
///
/// # Examples
///
/// ```
/// use cuminloom::settings::{Settings, faults};
/// let report = Settings::parse("{\n  // a comment\n  \"deamon\": {}\n}").unwrap_err();
/// let last = faults(&report).last().unwrap().to_string();
/// assert_eq!(last, "line 3: deamon: found an unknown key, expected \"daemon\"");
/// ```
pub fn faults(report: &Report<[SettingFault]>) -> Vec<&SettingFault> {
    let mut list: Vec<_> = report.current_contexts().collect();
    list.sort_by_key(|fault| fault.line);
    list
}

/// Which daemon this is and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Daemon {
    /// Name of the daemon, the same across restarts.
    pub id: DaemonId,
    /// Name of its VM in the platform's list.
    pub vm: Arc<str>,
    /// Its data centre.
    pub dc: DataCentre,
}

/// Interface to callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Longest accepted body, in bytes.
    pub body_limit: usize,
    /// Longest time without progress while a request is read.
    pub read_timeout: Duration,
    /// Whether `GET /metrics` is answered on this listener.
    pub metrics: bool,
}

/// Interface to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admin {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Who may administer.
    pub operators: Vec<Operator>,
}

/// One operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name that the history shows.
    pub name: Arc<str>,
    /// SHA-256 of the operator's token.
    pub hash: [u8; 32],
}

/// The platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of its service.
    pub addr: SocketAddr,
    /// Longest time by which the list of VMs lags behind reality.
    pub vm_list_lag: Duration,
}

/// Links to other daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Where the fleet secret is found.
    pub secret: SecretSource,
    /// Known daemons, without this one.
    pub peers: Vec<Peer>,
}

/// One other daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub id: DaemonId,
    /// Where it listens for peers.
    pub addr: SocketAddr,
    /// Its data centre.
    pub dc: DataCentre,
}

/// Defaults for budgets that set nothing themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetDefaults {
    /// Demand that a share covers.
    pub reserve: Duration,
    /// Largest share, as a fraction of what is free.
    pub fraction: f64,
}

impl Default for BudgetDefaults {
    fn default() -> Self {
        Self {
            reserve: load::RESERVE,
            fraction: load::FRACTION_OF_FREE,
        }
    }
}

/// Bounds of the queues of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Queues {
    /// Most queued urgent requests.
    pub urgent: usize,
    /// Most queued patient requests.
    pub patient: usize,
    /// Share of each target's limit that only urgent work may use.
    pub headroom: f64,
}

/// Export of traces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trace {
    /// Where spans are sent as OTLP/HTTP JSON; `None` exports nothing.
    pub addr: Option<SocketAddr>,
    /// Share of requests that are traced.
    pub sample: f64,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Reports every fault of the file as one [`SettingFault`] context.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::settings::Settings;
    /// let settings = Settings::open("examples/anod.jsonc").unwrap();
    /// assert_eq!(&*settings.daemon.dc, "cebu-north");
    /// ```
    pub fn open(path: impl AsRef<Path>) -> Result<Self, Report<[SettingFault]>> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).map_err(|err| {
            let fault = SettingFault {
                path: String::new(),
                line: 0,
                found: format!("{}: {err}", path.display()),
                expected: "a readable settings file".into(),
            };
            Report::new(fault).expand()
        })?;
        Self::parse(&text).map_err(|report| report.attach(format!("in {}", path.display())))
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Reports every fault of the text as one [`SettingFault`] context.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::settings::Settings;
    /// let text = std::fs::read_to_string("examples/hsin-lu.jsonc").unwrap();
    /// assert_eq!(Settings::parse(&text).unwrap().caller.body_limit, 16 << 20);
    /// assert!(Settings::parse("{}").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, Report<[SettingFault]>> {
        let mut faults = read::Faults::new(text);
        let settings = read::parse(text, &mut faults).map(|root| load::all(&root, &mut faults));
        let mut list = faults.list;
        list.sort_by_key(|fault| fault.line);
        let mut reports = list.into_iter().map(Report::new);
        let Some(first) = reports.next() else {
            return Ok(settings.expect("a file without faults has settings"));
        };
        let mut group = first.expand();
        reports.for_each(|report| group.push(report));
        Err(group)
    }
}
