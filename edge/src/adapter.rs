//! Traits that a deployment implements: its header fields ([`Dialect`]) and its store ([`Store`]).

use std::{
    error::Error,
    fmt,
    future::Future,
    sync::Arc,
    time::Duration, //
};

use crate::{
    catalog::{
        Config,
        EvacuationChange,
        RunnerChange, //
    },
    decide::PromptPart,
    http::{
        Fields,
        RequestHead, //
    },
    prepaid::{
        Batch,
        CommitOutcome,
        Rows, //
    },
};

/// Size of a request to an engine, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// Prompt tokens.
    pub prompt: u64,
    /// Maximum number of tokens to generate.
    pub output: u64,
}

/// Metadata of a request, decoded from the caller's header fields.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// Id that the caller gave to this attempt.
    pub id: Arc<str>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// API key of the customer.
    pub key: Option<Arc<str>>,
    /// Size in tokens; only on requests to engines.
    pub tokens: Option<Tokens>,
    /// Parts of the prompt in order, by which shared prefixes are recognized.
    pub parts: Vec<PromptPart>,
    /// Id of the event after which a stream resumes.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the caller the first event of the stream that it resumes.
    pub resumed: Option<Arc<str>>,
}

/// Values that the daemon adds to a request that it forwards to a runner.
#[derive(Clone, Copy, Debug)]
pub struct ForwardFields<'a> {
    /// Time left until the deadline.
    pub timeout: Duration,
    /// Id of the runner that is expected at the address.
    pub runner: &'a str,
    /// Name of the customer.
    pub customer: Option<&'a str>,
    /// Priority, 0 is the highest; only on requests to engines.
    pub rank: Option<u8>,
    /// Id of the event after which a stream resumes.
    pub last_event: Option<u64>,
}

/// Load that a runner reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Maximum number of requests running at once.
    pub slots: u32,
    /// Time that work takes there at this moment, in percent of the usual time.
    pub percent: Option<u32>,
}

/// What a response says in a field that may be missing or odd.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Signal<T> {
    /// Nothing.
    #[default]
    Absent,
    /// This value.
    Named(T),
    /// A value that can't be read; what was known before still holds.
    Unusable,
}

/// Requests a second that the runner takes from all daemons together, a finite number of at least 0.
pub type LimitField = Signal<f64>;

/// Time for which the runner wants nothing from this daemon, at most a day.
pub type RetryField = Signal<Duration>;

/// Requests that a brittle runner can turn away in a second before it falls over.
pub type BrittleField = Signal<u32>;

/// Metadata of a response, decoded from the runner's header fields.
#[derive(Clone, Debug, Default)]
pub struct ResponseMeta {
    /// Id of the attempt to which the response belongs.
    pub id: Option<String>,
    /// Whether the response carries a seal.
    pub sealed: bool,
    /// Whether the runner states that it has not run the request.
    pub not_run: bool,
    /// Load that the runner reports.
    pub load: Option<Load>,
    /// Time for which the runner keeps an idle connection open.
    pub idle: Option<Duration>,
    /// Limit that the runner names.
    pub limit: LimitField,
    /// Whether the runner says that it is brittle.
    pub brittle: BrittleField,
    /// Time after which the runner wants to be asked again.
    pub retry_after: RetryField,
    /// Whether the runner says that it leaves.
    pub leaving: bool,
    /// Time for which the runner stays cold, if it says so.
    pub cold_time: Option<Duration>,
}

/// Header field of a request that is missing or can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError(pub &'static str);

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl Error for FieldError {}

/// Names and encodings of the header fields exchanged with callers and runners.
pub trait Dialect: 'static {
    /// Decodes a caller's header fields.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing or can't be decoded.
    fn request_meta(head: &RequestHead) -> Result<RequestMeta, FieldError>;

    /// Whether a caller's field is never forwarded, because only the daemon sets it or it carries the
    /// caller's key.
    fn is_reserved(name: &[u8]) -> bool;

    /// Whether a caller's field names the time that is left for the request.
    fn is_timeout(name: &[u8]) -> bool;

    /// Appends the field with the time that is left for the request, encoded as a header line.
    fn append_timeout(out: &mut Vec<u8>, timeout: Duration);

    /// Appends the fields that the daemon adds, encoded as header lines.
    fn append_fields(out: &mut Vec<u8>, forward: &ForwardFields<'_>);

    /// Decodes a runner's header fields.
    fn response_meta(fields: &Fields) -> ResponseMeta;
}

/// Number that rises by one each time the store comes back from an older copy of its rows, in which the newest
/// writes are missing and from which versions are given out again.
pub type Era = u64;

/// Version of a row or of the whole store. Those of a later era are newer, whatever their number.
///
/// # Examples
///
/// ```
/// use cuminloom_edge::adapter::StoreVersion;
///
/// let old = StoreVersion { era: 1, number: 900 };
/// assert!(StoreVersion { era: 2, number: 7 } > old);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion {
    /// Era of the store.
    pub era: Era,
    /// Version within the era.
    pub number: u64,
}

/// Result of one read of a feed of the store.
#[derive(Clone, Debug)]
pub struct FeedUpdate<T> {
    /// The changes in order.
    pub items: Vec<T>,
    /// Whether the items are the complete state instead of changes.
    pub is_snapshot: bool,
    /// Version after which the next read continues.
    pub version: u64,
    /// Steady clock of the store, in milliseconds.
    pub now_ms: u64,
    /// Era of the store that answered.
    pub era: Era,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store refused with this status; nothing was done.
    Refused(u16),
    /// No connection; nothing was sent.
    Unreachable(String),
    /// No response; a write may have been or may still be applied.
    Unanswered(String),
    /// The response could not be decoded.
    Unreadable(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Refused(status) => write!(f, "refused with {status}"),
            StoreError::Unreachable(cause) => write!(f, "unreachable: {cause}"),
            StoreError::Unanswered(cause) => write!(f, "no response: {cause}"),
            StoreError::Unreadable(cause) => write!(f, "unreadable response: {cause}"),
        }
    }
}

impl Error for StoreError {}

/// A configuration with the encoded bytes that daemons pass on to one another.
#[derive(Clone, Debug)]
pub struct ConfigVersion {
    /// Decoded form.
    pub config: Arc<Config>,
    /// Bytes as written by the operator.
    pub bytes: Arc<[u8]>,
}

/// Change that the operator has made.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    /// A configuration.
    Config(ConfigVersion),
    /// Evacuation of a data centre, or its return to service.
    Evacuation(EvacuationChange),
}

/// Client of the store of the platform.
pub trait Store: 'static {
    /// Waits up to `wait` for changes of the operator after the feed version `since`; reads the newest
    /// configuration and all evacuations if `since` is `None`.
    fn watch_configs(
        &self,
        since: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedUpdate<OperatorChange>, StoreError>>;

    /// Waits up to `wait` for changes of the runner entries after the feed version `since`; reads all
    /// entries if `since` is `None`.
    fn watch_runners(
        &self,
        since: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedUpdate<RunnerChange>, StoreError>>;

    /// Reads the rows that the daemons share.
    fn fetch_rows(&self) -> impl Future<Output = Result<Rows, StoreError>>;

    /// Writes the rows of `batch`.
    fn commit(&self, batch: &Batch) -> impl Future<Output = Result<CommitOutcome, StoreError>>;

    /// Decodes a configuration that another daemon has passed on.
    ///
    /// # Errors
    ///
    /// Fails if it can't be decoded.
    fn decode_config(&self, bytes: &[u8]) -> Result<Config, StoreError>;
}
