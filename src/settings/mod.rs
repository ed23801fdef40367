//! Settings of one daemon, read from a file of JSON with comments.
//!
//! All errors in a file are reported at once, each with path, line, the value found and what is
//! accepted. The settings contain no secrets, only where to find them.

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
    /// Identity of the daemon.
    pub daemon: DaemonSettings,
    /// Listener for callers.
    pub caller: CallerSettings,
    /// Administration API for operators.
    pub admin: AdminSettings,
    /// Service of the platform.
    pub platform: PlatformSettings,
    /// Connections to other daemons.
    pub peer: PeerSettings,
    /// Sizing of shares for budgets without their own.
    pub budget: BudgetDefaults,
    /// Limits of the queues of each service.
    pub queue: QueueSettings,
    /// Export of traces.
    pub trace: TraceSettings,
    /// Most detailed log level that is written.
    pub log: LevelFilter,
}

/// Returns the errors of a report in the order of their lines.
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
    list.sort_by_key(|error| error.line);
    list
}

/// Identity and location of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Name of the daemon; does not change on a restart.
    pub id: DaemonId,
    /// Name of its VM in the platform's list of VMs.
    pub vm: Arc<str>,
    /// Its data centre.
    pub dc: DataCentre,
}

/// Settings of the listener for callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Longest accepted request body, in bytes.
    pub body_limit: usize,
    /// Longest time that reading a request may make no progress.
    pub read_timeout: Duration,
    /// Whether `GET /metrics` is answered on this listener.
    pub metrics: bool,
}

/// Settings of the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Operators that may use it.
    pub operators: Vec<Operator>,
}

/// An operator of the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name recorded in the history of changes.
    pub name: Arc<str>,
    /// SHA-256 of the operator's token.
    pub token_hash: [u8; 32],
}

/// Settings of the client of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of its service.
    pub addr: SocketAddr,
    /// Longest delay until the list of VMs reflects a change.
    pub vm_list_lag: Duration,
}

/// Settings of the connections to other daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Where to read the fleet secret.
    pub secret: SecretSource,
    /// The other daemons of the fleet.
    pub peers: Vec<Peer>,
}

/// Another daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the daemon.
    pub id: DaemonId,
    /// Address on which it listens for peers.
    pub addr: SocketAddr,
    /// Its data centre.
    pub dc: DataCentre,
}

/// Sizing of shares for budgets without their own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetDefaults {
    /// Time for which a share covers the demand.
    pub reserve: Duration,
    /// Largest draw, as a fraction of the free tokens of the budget.
    pub draw_fraction: f64,
}

impl Default for BudgetDefaults {
    fn default() -> Self {
        Self {
            reserve: load::DEFAULT_RESERVE,
            draw_fraction: load::DEFAULT_DRAW_FRACTION,
        }
    }
}

/// Limits of the queues of each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Most queued urgent requests.
    pub max_urgent: usize,
    /// Most queued patient requests.
    pub max_patient: usize,
    /// Fraction of each target's limit that is reserved for urgent requests.
    pub headroom: f64,
}

/// Settings of the export of traces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TraceSettings {
    /// Address of the collector, which gets OTLP/HTTP JSON; `None` disables the export.
    pub addr: Option<SocketAddr>,
    /// Fraction of the requests without a `traceparent` header that are traced.
    pub sample_ratio: f64,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Reports every error in the file as a [`SettingError`] context.
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
            let error = SettingError {
                path: String::new(),
                line: 0,
                found: format!("{}: {err}", path.display()),
                expected: "a readable settings file".into(),
            };
            Report::new(error).expand()
        })?;
        Self::parse(&text).map_err(|report| report.attach(format!("in {}", path.display())))
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Reports every error in the text as a [`SettingError`] context.
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
        let mut errors = read::Errors::new(text);
        let settings =
            read::parse(text, &mut errors).map(|root| load::read_all(&root, &mut errors));
        let mut list = errors.list;
        list.sort_by_key(|error| error.line);
        let mut reports = list.into_iter().map(Report::new);
        let Some(first) = reports.next() else {
            return Ok(settings.expect("a file without errors was parsed"));
        };
        let mut group = first.expand();
        reports.for_each(|report| group.push(report));
        Err(group)
    }
}
