//! The two borders that a deployment brings: header fields and the store.

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

/// Prompt and output of a request to an engine, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens that it may generate at most.
    pub output: u64,
}

/// What a caller asks for, decoded from its header fields.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Id of the caller's attempt.
    pub id: Arc<str>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Key of the customer.
    pub key: Option<Arc<str>>,
    /// Size, on requests to engines.
    pub tokens: Option<Tokens>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Event after which a stream goes on.
    pub last_event: Option<u64>,
}

/// What the system adds to a request that it sends to a runner.
#[derive(Clone, Copy, Debug)]
pub struct Addition<'a> {
    /// Time that is left.
    pub deadline: Duration,
    /// Runner that is expected at the address.
    pub runner: &'a str,
    /// Customer.
    pub customer: Option<&'a str>,
    /// Rank, on requests to engines.
    pub rank: Option<u8>,
    /// Event after which a stream goes on.
    pub last_event: Option<u64>,
}

/// Load that a runner reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
}

/// What a runner's header fields say.
#[derive(Clone, Debug, Default)]
pub struct Mark {
    /// Id of the attempt that is answered.
    pub id: Option<String>,
    /// Whether the answer is signed.
    pub sealed: bool,
    /// Whether the runner has not run the request.
    pub not_run: bool,
    /// Load of the runner.
    pub load: Option<Load>,
    /// Time for which an idle connection is kept.
    pub idle: Option<Duration>,
}

/// Why a request's header fields could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskFault(pub &'static str);

impl fmt::Display for AskFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl Error for AskFault {}

/// Names and forms of the header fields towards callers and runners.
pub trait Dialect: 'static {
    /// Decodes what a caller asks for.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing or can't be read.
    fn ask(head: &RequestHead) -> Result<Ask, AskFault>;

    /// Whether a caller's field is never passed on, because only the system sets it or it names the
    /// caller's key.
    fn is_own(name: &[u8]) -> bool;

    /// Appends the fields that the system sets.
    fn add(out: &mut Vec<u8>, addition: &Addition<'_>);

    /// Decodes a runner's answer.
    fn mark(fields: &Fields) -> Mark;
}

/// Changes that a feed has brought.
#[derive(Clone, Debug)]
pub struct Feed<T> {
    /// The changes in order.
    pub items: Vec<T>,
    /// Whether the items are all there is, not only what changed.
    pub whole: bool,
    /// Version from which to go on.
    pub version: u64,
    /// Steady clock of the store, in milliseconds.
    pub now: u64,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The store said that nothing was done.
    Refused(u16),
    /// No connection; nothing was sent.
    Unreachable(String),
    /// No answer; a write may have been or may still be done.
    Unanswered(String),
    /// The answer could not be read.
    Unreadable(String),
}

impl fmt::Display for StoreFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreFault::Refused(status) => write!(f, "refused with {status}"),
            StoreFault::Unreachable(why) => write!(f, "unreachable: {why}"),
            StoreFault::Unanswered(why) => write!(f, "no answer: {why}"),
            StoreFault::Unreadable(why) => write!(f, "unreadable answer: {why}"),
        }
    }
}

impl Error for StoreFault {}

/// A version of the configuration with the bytes that daemons pass on to one another.
#[derive(Clone, Debug)]
pub struct Version {
    /// Decoded form.
    pub config: Arc<Config>,
    /// Form in which the operator wrote it.
    pub bytes: Arc<[u8]>,
}

/// The store of the platform.
pub trait Store: 'static {
    /// Waits up to `wait` for a configuration newer than the feed version `since`; reads the newest
    /// one if `since` is `None`.
    fn configs(
        &self,
        since: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Feed<Version>, StoreFault>>;

    /// Waits up to `wait` for changes of the runners' entries; reads all if `since` is `None`.
    fn runners(
        &self,
        since: Option<u64>,
        wait: Duration,
    ) -> impl Future<Output = Result<Feed<RunnerChange>, StoreFault>>;

    /// Reads the rows that the daemons share.
    fn rows(&self) -> impl Future<Output = Result<Rows, StoreFault>>;

    /// Writes rows.
    fn commit(&self, batch: &Batch) -> impl Future<Output = Result<CommitOutcome, StoreFault>>;

    /// Decodes a configuration that another daemon has passed on.
    ///
    /// # Errors
    ///
    /// Fails if it can't be read.
    fn decode(&self, bytes: &[u8]) -> Result<Config, StoreFault>;
}
