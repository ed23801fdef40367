//! Runs configuration jobs against the store.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};

use super::{
    HEAD_KEY,
    edit::{
        Edit,
        EditRequest, //
    },
    job::{
        Job,
        JobError,
        Step,
        StepResult, //
    },
    state::ConfigState, //
};
use crate::store::{
    Objects,
    Table, //
};

/// Proposes an edit and waits until it is accepted or refused. The lock is not held during store
/// calls. A repeated request with the same id returns the edit that was accepted first.
///
/// # Errors
///
/// Fails with a [`JobError`]; only after [`JobError::Uncertain`] may the edit take effect.
///
/// # Examples
///
/// ```
/// use std::sync::Mutex;
/// use cuminloom::{config::{self, EditRequest, ConfigState, JobError, ItemKind}, store::HttpStore};
/// let store = HttpStore::new("127.0.0.1:1".parse().unwrap());
/// let change = EditRequest {
///     kind: ItemKind::Stop,
///     name: "friday".into(),
///     value: None,
///     if_match: Some(1),
///     operator: "ann".into(),
///     time: 0,
///     request: "1".into(),
/// };
/// let result = config::propose(&Mutex::new(ConfigState::default()), &store, change);
/// assert!(matches!(result, Err(JobError::Unavailable)));
/// ```
pub fn propose<S: Table + Objects>(
    config: &Mutex<ConfigState>,
    store: &S,
    change: EditRequest,
) -> Result<Arc<Edit>, JobError> {
    let edit = run(config, store, Job::edit(change))?;
    Ok(edit.expect("an edit job ends with its edit"))
}

/// Catches up with the head. With `complete` it also accepts an edit that a failed daemon left
/// uncommitted after the head, at the cost of one more read; every fifth poll of a daemon is often
/// enough.
///
/// # Errors
///
/// Fails with a [`JobError`]; the configuration stays at the version that was reached.
///
/// # Examples
///
/// ```
/// use std::sync::Mutex;
/// use cuminloom::{config::{self, ConfigState}, store::HttpStore};
/// let store = HttpStore::new("127.0.0.1:1".parse().unwrap());
/// assert!(config::poll(&Mutex::new(ConfigState::default()), &store, false).is_err());
/// ```
pub fn poll<S: Table + Objects>(
    config: &Mutex<ConfigState>,
    store: &S,
    complete: bool,
) -> Result<(), JobError> {
    run(config, store, Job::poll(complete)).map(drop)
}

/// Runs the steps of a job until it ends.
fn run<S: Table + Objects>(
    config: &Mutex<ConfigState>,
    store: &S,
    mut job: Job,
) -> Result<Option<Arc<Edit>>, JobError> {
    let mut step = job.start();
    loop {
        let result = match step {
            Step::ReadHead => store.read(HEAD_KEY).map(StepResult::Head),
            Step::GetObject(name) => store.get(&name).map(StepResult::Object),
            Step::PutObject(name, body) => store.put_new(&name, &body).map(StepResult::Put),
            Step::Commit(writes) => store.commit(&writes).map(StepResult::Commit),
            Step::Done(result) => return result,
        };
        let result = result.unwrap_or_else(StepResult::Failed);
        step = job.handle(&mut lock_config(config), result);
    }
}

/// Locks the shared configuration state.
pub(crate) fn lock_config(config: &Mutex<ConfigState>) -> MutexGuard<'_, ConfigState> {
    config
        .lock()
        .expect("no thread panics while it holds the configuration")
}
