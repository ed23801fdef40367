//! Runs the jobs of the configuration against the platform.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};

use super::{
    HEAD,
    edit::{
        Change,
        Edit, //
    },
    job::{
        Answer,
        Job,
        JobFault,
        Step, //
    },
    machine::Config, //
};
use crate::store::{
    Objects,
    Table, //
};

/// Proposes a change and waits until it is accepted or refused. The lock is not held while the
/// platform is asked. Repeating a change with the same request id returns the recorded edit.
///
/// # Errors
///
/// Fails with a [`JobFault`]; only after [`JobFault::Uncertain`] may the change have an effect.
///
/// # Examples
///
/// ```
/// use std::sync::Mutex;
/// use cuminloom::{config::{self, Change, Config, JobFault, Kind}, store::HttpStore};
/// let store = HttpStore::new("127.0.0.1:1".parse().unwrap());
/// let change = Change {
///     kind: Kind::Stop,
///     name: "friday".into(),
///     value: None,
///     if_match: Some(1),
///     operator: "ann".into(),
///     time: 0,
///     request: "1".into(),
/// };
/// let result = config::propose(&Mutex::new(Config::default()), &store, change);
/// assert!(matches!(result, Err(JobFault::Unavailable)));
/// ```
pub fn propose<S: Table + Objects>(
    config: &Mutex<Config>,
    store: &S,
    change: Change,
) -> Result<Arc<Edit>, JobFault> {
    let edit = run(config, store, Job::edit(change))?;
    Ok(edit.expect("an edit job ends with its edit"))
}

/// Catches up with the head. With `complete` it also accepts an edit that a failed daemon left
/// after the head, at the cost of one more read; every fifth poll of a daemon is often enough.
///
/// # Errors
///
/// Fails with a [`JobFault`]; the configuration stays at the version that was reached.
///
/// # Examples
///
/// ```
/// use std::sync::Mutex;
/// use cuminloom::{config::{self, Config}, store::HttpStore};
/// let store = HttpStore::new("127.0.0.1:1".parse().unwrap());
/// assert!(config::poll(&Mutex::new(Config::default()), &store, false).is_err());
/// ```
pub fn poll<S: Table + Objects>(
    config: &Mutex<Config>,
    store: &S,
    complete: bool,
) -> Result<(), JobFault> {
    run(config, store, Job::poll(complete)).map(drop)
}

fn run<S: Table + Objects>(
    config: &Mutex<Config>,
    store: &S,
    mut job: Job,
) -> Result<Option<Arc<Edit>>, JobFault> {
    let mut step = job.start();
    loop {
        let answer = match step {
            Step::Head => store.read(HEAD).map(Answer::Head),
            Step::Get(name) => store.get(&name).map(Answer::Object),
            Step::Put(name, body) => store.put_new(&name, &body).map(Answer::Put),
            Step::Commit(writes) => store.commit(&writes).map(Answer::Commit),
            Step::Done(result) => return result,
        };
        let answer = answer.unwrap_or_else(Answer::Fault);
        step = job.handle(&mut lock(config), answer);
    }
}

pub(crate) fn lock(config: &Mutex<Config>) -> MutexGuard<'_, Config> {
    config
        .lock()
        .expect("no thread panics while it holds the configuration")
}
