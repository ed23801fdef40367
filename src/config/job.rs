//! State machine of one configuration job: it reads the head, catches up with it and, for an edit,
//! writes the edit object and advances the head.

use std::{
    error::Error,
    fmt,
    sync::Arc, //
};

use super::{
    SNAPSHOT_INTERVAL,
    check::ItemError,
    edit::{
        Edit,
        EditBatch,
        EditError,
        EditRequest,
        ProposedEdit,
        edit_name,
        is_snapshot_due,
        snapshot_name, //
    },
    state::{
        ConfigState,
        ReceiveOutcome,
        advance,
        head_version, //
    },
};
use crate::{
    model::Version,
    store::{
        CommitOutcome,
        Row,
        StoreError,
        Write, //
    },
};

/// Lost replies that a job accepts before it gives up. Each one takes the store's time limit of 3 s,
/// and the operator's client waits for 10 s by default.
const MAX_LOST_REPLIES: u32 = 3;
/// Lost races that a job accepts before it gives up; in each one another edit was accepted.
const MAX_RACES: u32 = 64;

/// Store operation that the caller of a [`Job`] runs next, or the end of the job.
#[derive(Clone, Debug)]
pub enum Step {
    /// Read the row [`HEAD_KEY`](super::HEAD_KEY).
    ReadHead,
    /// Read an object.
    GetObject(Arc<str>),
    /// Write an object unless one of this name exists.
    PutObject(Arc<str>, Vec<u8>),
    /// Commit writes to the table.
    Commit(Vec<Write>),
    /// The job has finished. An edit job returns the accepted edit, a poll job nothing.
    Done(Result<Option<Arc<Edit>>, JobError>),
}

/// Result of the store operation of a [`Step`].
#[derive(Clone, Debug)]
pub enum StepResult {
    /// The head row, if it exists.
    Head(Option<Row>),
    /// The object, if it exists.
    Object(Option<Vec<u8>>),
    /// Whether the object was written; `false` when one of its name existed.
    Put(bool),
    /// Outcome of the commit.
    Commit(CommitOutcome),
    /// The operation failed, or its result is unknown.
    Failed(StoreError),
}

/// Why a job failed.
#[derive(Clone, Debug)]
pub enum JobError {
    /// The edit was refused; nothing was written.
    Refused(EditError),
    /// The store did not respond; the edit was not accepted and will not be.
    Unavailable,
    /// The store stopped responding; the edit may have been accepted, or may be later.
    Uncertain,
    /// An accepted edit can't be read or converted.
    Corrupt(Vec<ItemError>),
}

impl fmt::Display for JobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobError::Refused(refusal) => refusal.fmt(f),
            JobError::Unavailable => {
                f.write_str("the platform's store does not answer; nothing was changed")
            }
            JobError::Uncertain => f.write_str(
                "the platform's store stopped answering; the change may be accepted, now or later",
            ),
            JobError::Corrupt(errors) => {
                let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
                write!(
                    f,
                    "an accepted edit cannot be applied: {}",
                    texts.join("; ")
                )
            }
        }
    }
}

impl Error for JobError {}

/// What a job waits for. The head row, where given, is the one that was read last.
#[derive(Debug)]
enum Stage {
    /// Reading the head row.
    Head,
    /// Reading the snapshot of this version while catching up with the head.
    Snapshot(Version, Option<Row>),
    /// Reading the next edit while catching up with the head.
    Edit(Option<Row>),
    /// Reading the edit after the head, which a failed daemon may have left uncommitted.
    Uncommitted(Option<Row>),
    /// Writing the object of the own edit.
    Put(Option<Row>, ProposedEdit),
    /// Reading the object that already exists under the name of the own edit.
    ReadTaken(Option<Row>),
    /// Committing the head that accepts this edit.
    Commit(Arc<Edit>),
    /// Writing a snapshot. A failure is ignored, since the previous snapshot can be used.
    WriteSnapshot(Option<Arc<Edit>>),
    /// The job has ended.
    Done,
}

/// State machine of one job. The caller runs each [`Step`] and passes its result to
/// [`Job::handle`].
#[derive(Debug)]
pub struct Job {
    /// The requested edit; `None` for a poll.
    change: Option<EditRequest>,
    /// Whether a poll also accepts an uncommitted edit after the head.
    complete: bool,
    stage: Stage,
    lost_replies: u32,
    lost_races: u32,
    /// Version under which the object of the requested edit may have been written.
    maybe_written: Option<Version>,
}

impl Job {
    /// Creates a job that catches up with the head. With `complete` it also accepts an edit whose
    /// daemon failed before it advanced the head.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::{StepResult, ConfigState, Job, Step};
    /// let (mut config, mut job) = (ConfigState::default(), Job::poll(false));
    /// assert!(matches!(job.start(), Step::ReadHead));
    /// let step = job.handle(&mut config, StepResult::Head(None));
    /// assert!(matches!(step, Step::Done(Ok(None))));
    /// ```
    pub fn poll(complete: bool) -> Self {
        Self {
            change: None,
            complete,
            stage: Stage::Head,
            lost_replies: 0,
            lost_races: 0,
            maybe_written: None,
        }
    }

    /// Creates a job that makes a requested edit.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{config::{StepResult, EditRequest, ConfigState, Job, JobError, ItemKind, Step}, store::StoreError};
    /// let mut job = Job::edit(EditRequest {
    ///     kind: ItemKind::Stop,
    ///     name: "friday".into(),
    ///     value: None,
    ///     if_match: Some(1),
    ///     operator: "ann".into(),
    ///     time: 0,
    ///     request: "1".into(),
    /// });
    /// job.start();
    /// let step = job.handle(&mut ConfigState::default(), StepResult::Failed(StoreError::Unavailable));
    /// assert!(matches!(step, Step::Done(Err(JobError::Unavailable))));
    /// ```
    pub fn edit(change: EditRequest) -> Self {
        Self {
            change: Some(change),
            ..Self::poll(false)
        }
    }

    /// Starts the job over and returns its first step.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::{Job, Step};
    /// assert!(matches!(Job::poll(true).start(), Step::ReadHead));
    /// ```
    pub fn start(&mut self) -> Step {
        self.stage = Stage::Head;
        Step::ReadHead
    }

    /// Takes the result of the last step and returns the next step. `config` is the daemon's
    /// configuration; other jobs may have advanced it since the last step.
    ///
    /// # Panics
    ///
    /// Panics when the result does not belong to the last step.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::{StepResult, ConfigState, Job, Step};
    /// let mut job = Job::poll(true);
    /// job.start();
    /// let step = job.handle(&mut ConfigState::default(), StepResult::Head(None));
    /// assert!(matches!(step, Step::GetObject(name) if &*name == "config/edit/1"));
    /// ```
    pub fn handle(&mut self, config: &mut ConfigState, result: StepResult) -> Step {
        let stage = std::mem::replace(&mut self.stage, Stage::Done);
        match (stage, result) {
            (Stage::WriteSnapshot(edit), _) => self.end_edit(edit),
            (stage, StepResult::Failed(fault)) => self.handle_fault(stage, fault),
            (Stage::Head, StepResult::Head(head)) => {
                config.record_announced(head_version(head.as_ref()));
                self.continue_from_head(config, head)
            }
            (Stage::Snapshot(at, head), StepResult::Object(body)) => {
                self.apply_snapshot(config, at, head, body)
            }
            (Stage::Edit(head), StepResult::Object(body)) => self.next_edit(config, head, body),
            (Stage::Uncommitted(head), StepResult::Object(body)) => {
                self.handle_uncommitted(config, head, body)
            }
            (Stage::Put(_, proposed), StepResult::Put(true)) => {
                self.maybe_written = Some(proposed.edit.version);
                self.stage = Stage::Commit(proposed.edit);
                Step::Commit(proposed.commit)
            }
            (Stage::Put(head, _), StepResult::Put(false)) => self.read_taken(head),
            (Stage::ReadTaken(head), StepResult::Object(body)) => {
                self.handle_taken(config, head, body)
            }
            (Stage::Commit(edit), StepResult::Commit(outcome)) => {
                self.handle_commit(config, &edit, &outcome)
            }
            (stage, result) => panic!("unexpected result {result:?} in {stage:?}"),
        }
    }

    /// Ends the job.
    fn end(&mut self, result: Result<Option<Arc<Edit>>, JobError>) -> Step {
        self.stage = Stage::Done;
        Step::Done(result)
    }

    /// Ends the job because the store did not respond; tells whether the edit may take effect.
    fn fail(&mut self) -> Step {
        let error = match self.maybe_written {
            Some(_) => JobError::Uncertain,
            None => JobError::Unavailable,
        };
        self.end(Err(error))
    }

    /// Starts over after a lost reply, or gives up.
    fn handle_fault(&mut self, stage: Stage, fault: StoreError) -> Step {
        if let (Stage::Put(_, proposed), StoreError::Unknown) = (stage, fault) {
            self.maybe_written = Some(proposed.edit.version);
        }
        self.lost_replies += 1;
        if fault == StoreError::Unavailable || self.lost_replies > MAX_LOST_REPLIES {
            return self.fail();
        }
        // Starting over repeats reads, and the head shows whether an unanswered commit was applied.
        self.start()
    }

    /// Ends the job because an accepted object is missing or unreadable.
    fn fail_corrupt(&mut self, name: &str, message: &str) -> Step {
        self.end(Err(JobError::Corrupt(vec![ItemError::new(name, message)])))
    }

    /// Catches up with the head that was read, or, when that is done, goes on with the edit or the
    /// poll.
    fn continue_from_head(&mut self, config: &ConfigState, head: Option<Row>) -> Step {
        let (here, there) = (config.version(), head_version(head.as_ref()));
        if there > here {
            let at = there - there % SNAPSHOT_INTERVAL;
            return self.fetch_next(config, at, head);
        }
        if there < here && self.change.is_some() {
            // Another job of this daemon advanced the configuration since the head was read.
            return self.restart();
        }
        let Some(change) = &self.change else {
            if !self.complete || there < here {
                return self.end(Ok(None));
            }
            self.stage = Stage::Uncommitted(head);
            return Step::GetObject(edit_name(there + 1));
        };
        match config.find_recorded(change) {
            Some(Ok(edit)) => return self.end(Ok(Some(edit))),
            Some(Err(refusal)) => return self.end(Err(JobError::Refused(refusal))),
            None => {}
        }
        // A version that is in force belongs to another edit, so the own object was not written there.
        self.maybe_written = self.maybe_written.filter(|version| *version > here);
        match config.prepare_edit(change, head.as_ref()) {
            Ok(proposed) => {
                let (name, body) = proposed.object.clone();
                self.stage = Stage::Put(head, proposed);
                Step::PutObject(name, body)
            }
            Err(refusal) => {
                // An edit that had been proposed at this version would have been valid then, and so
                // would be valid now.
                assert!(
                    self.maybe_written.is_none(),
                    "a proposed change was refused"
                );
                self.end(Err(JobError::Refused(refusal)))
            }
        }
    }

    /// Starts over after a lost race, or gives up after too many.
    fn restart(&mut self) -> Step {
        self.lost_races += 1;
        match self.lost_races > MAX_RACES {
            true => self.fail(),
            false => self.start(),
        }
    }

    /// Reads the snapshot of version `at` if it saves edits, otherwise the next edit.
    fn fetch_next(&mut self, config: &ConfigState, at: Version, head: Option<Row>) -> Step {
        if at > config.version() + 1 {
            self.stage = Stage::Snapshot(at, head);
            return Step::GetObject(snapshot_name(at));
        }
        self.stage = Stage::Edit(head);
        Step::GetObject(edit_name(config.version() + 1))
    }

    /// Applies the snapshot of version `at`.
    fn apply_snapshot(
        &mut self,
        config: &mut ConfigState,
        at: Version,
        head: Option<Row>,
        body: Option<Vec<u8>>,
    ) -> Step {
        let Some(body) = body else {
            // The daemon that accepted this edit failed before it wrote the snapshot; try the one
            // before.
            return self.fetch_next(config, at.saturating_sub(SNAPSHOT_INTERVAL), head);
        };
        let Ok(batch) = serde_json::from_slice::<EditBatch>(&body) else {
            return self.fail_corrupt(&snapshot_name(at), "is no snapshot");
        };
        match config.apply_batch(&batch) {
            Ok(_) if config.version() >= at => self.continue_from_head(config, head),
            Ok(_) => self.fail_corrupt(&snapshot_name(at), "is the snapshot of another version"),
            Err(errors) => self.end(Err(JobError::Corrupt(errors))),
        }
    }

    /// Applies the next edit on the way to the head.
    fn next_edit(
        &mut self,
        config: &mut ConfigState,
        head: Option<Row>,
        body: Option<Vec<u8>>,
    ) -> Step {
        let Some(edit) = body.as_deref().and_then(parse_edit) else {
            return self.fail_corrupt("config/edit", "an accepted edit is missing or unreadable");
        };
        match apply_edit(config, &edit) {
            Ok(ReceiveOutcome::Gap) => {
                self.fail_corrupt("config/edit", "an edit has another version")
            }
            Ok(_) if config.version() >= head_version(head.as_ref()) => {
                self.continue_from_head(config, head)
            }
            Ok(_) => self.fetch_next(config, 0, head),
            Err(errors) => self.end(Err(JobError::Corrupt(errors))),
        }
    }

    /// Commits the edit after the head, if there is one.
    fn handle_uncommitted(
        &mut self,
        config: &ConfigState,
        head: Option<Row>,
        body: Option<Vec<u8>>,
    ) -> Step {
        match body.as_deref().map(parse_edit) {
            None => self.end(Ok(None)),
            Some(None) => self.fail_corrupt("config/edit", "the next edit is unreadable"),
            Some(Some(edit)) => self.commit_edit(config, head.as_ref(), edit),
        }
    }

    /// Reads the object that exists under the name of the own edit: the own object, when the reply to
    /// its write was lost, or the edit of another daemon.
    fn read_taken(&mut self, head: Option<Row>) -> Step {
        let name = edit_name(head_version(head.as_ref()) + 1);
        self.stage = Stage::ReadTaken(head);
        Step::GetObject(name)
    }

    /// Commits the edit that exists under the name of the own edit.
    fn handle_taken(
        &mut self,
        config: &ConfigState,
        head: Option<Row>,
        body: Option<Vec<u8>>,
    ) -> Step {
        match body.as_deref().and_then(parse_edit) {
            Some(edit) => self.commit_edit(config, head.as_ref(), edit),
            None => self.fail_corrupt("config/edit", "the next edit is missing or unreadable"),
        }
    }

    /// Advances the head to `edit`, unless the head or the configuration has moved past it.
    fn commit_edit(&mut self, config: &ConfigState, head: Option<&Row>, edit: Arc<Edit>) -> Step {
        if edit.version != head_version(head) + 1 || config.version() >= edit.version {
            return self.restart();
        }
        let writes = vec![advance(head, edit.version)];
        self.stage = Stage::Commit(edit);
        Step::Commit(writes)
    }

    /// Applies the accepted edit and writes a snapshot if one is due.
    fn handle_commit(
        &mut self,
        config: &mut ConfigState,
        edit: &Arc<Edit>,
        outcome: &CommitOutcome,
    ) -> Step {
        let CommitOutcome::Applied(_) = outcome else {
            // Another daemon advanced the head, possibly to the same edit.
            return self.restart();
        };
        if let Err(errors) = apply_edit(config, edit) {
            return self.end(Err(JobError::Corrupt(errors)));
        }
        let own = self.change.as_ref().is_some_and(|it| edit.is_for(it));
        let result = own.then(|| edit.clone());
        if is_snapshot_due(edit.version) && config.version() == edit.version {
            let batch = config.snapshot();
            let body = serde_json::to_vec(&batch).expect("edits have string keys");
            self.stage = Stage::WriteSnapshot(result);
            return Step::PutObject(snapshot_name(edit.version), body);
        }
        self.end_edit(result)
    }

    /// Ends the job after an edit was accepted; starts over when it was another daemon's edit.
    fn end_edit(&mut self, own: Option<Arc<Edit>>) -> Step {
        match own.is_none() && self.change.is_some() {
            true => self.start(),
            false => self.end(Ok(own)),
        }
    }
}

fn parse_edit(body: &[u8]) -> Option<Arc<Edit>> {
    serde_json::from_slice(body).ok()
}

/// Applies one accepted edit.
fn apply_edit(
    config: &mut ConfigState,
    edit: &Arc<Edit>,
) -> Result<ReceiveOutcome, Vec<ItemError>> {
    config.apply_batch(&EditBatch {
        version: edit.version,
        full: false,
        edits: vec![edit.clone()],
    })
}
