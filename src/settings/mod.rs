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

pub use read::SettingError;
pub(crate) use read::parse_options;
pub use secret::{
    Secret,
    SecretSource, //
};

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Which daemon this is.
    pub daemon: DaemonSettings,
    /// Interface to callers.
    pub caller: CallerSettings,
    /// Interface to operators.
    pub admin: AdminSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Links to other daemons.
    pub peer: PeerSettings,
    /// Defaults for budgets that set nothing themselves.
    pub budget: BudgetDefaults,
    /// Bounds of the queues of a service.
    pub queue: QueueSettings,
    /// Export of traces.
    pub trace: TraceSettings,
    /// Most detailed level that is logged.
    pub log: LevelFilter,
}

/// The faults of a report in the order of their lines.
///
/// # Examples
///
/// ```
/// use cuminloom::settings::{Settings, sorted_errors};
/// let report = Settings::parse("{\n  // a comment\n  \"deamon\": {}\n}").unwrap_err();
/// let last = sorted_errors(&report).last().unwrap().to_string();
/// assert_eq!(last, "line 3: deamon: found an unknown key, expected \"daemon\"");
/// ```
pub fn sorted_errors(report: &Report<[SettingError]>) -> Vec<&SettingError> {
    let mut list: Vec<_> = report.current_contexts().collect();
    list.sort_by_key(|fault| fault.line);
    list
}

/// Which daemon this is and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Name of the daemon, the same across restarts.
    pub id: DaemonId,
    /// Name of its VM in the platform's list.
    pub vm: Arc<str>,
    /// Its data centre.
    pub dc: DataCentre,
}

/// Interface to callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerSettings {
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
pub struct AdminSettings {
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
    pub token_hash: [u8; 32],
}

/// The platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of its service.
    pub addr: SocketAddr,
    /// Longest time by which the list of VMs lags behind reality.
    pub vm_list_lag: Duration,
}

/// Links to other daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
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
    pub draw_fraction: f64,
}

impl Default for BudgetDefaults {
    fn default() -> Self {
        Self {
            reserve: load::RESERVE,
            draw_fraction: load::FRACTION_OF_FREE,
        }
    }
}

/// Bounds of the queues of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Most queued urgent requests.
    pub max_urgent: usize,
    /// Most queued patient requests.
    pub max_patient: usize,
    /// Share of each target's limit that only urgent work may use.
    pub headroom: f64,
}

/// Export of traces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceSettings {
    /// Where spans are sent as OTLP/HTTP JSON; `None` exports nothing.
    pub addr: Option<SocketAddr>,
    /// Share of requests that are traced.
    pub sample_ratio: f64,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Reports every fault of the file as one [`SettingError`] context.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::settings::Settings;
    /// let settings = Settings::load("examples/anod.jsonc").unwrap();
    /// assert_eq!(&*settings.daemon.dc, "cebu-north");
    /// ```
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Report<[SettingError]>> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).map_err(|err| {
            let fault = SettingError {
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
    /// Reports every fault of the text as one [`SettingError`] context.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::settings::Settings;
    /// let text = std::fs::read_to_string("examples/hsin-lu.jsonc").unwrap();
    /// assert_eq!(Settings::parse(&text).unwrap().caller.body_limit, 16 << 20);
    /// assert!(Settings::parse("{}").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, Report<[SettingError]>> {
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
