//! One exchange with the platform: read the head, catch up, and propose a change.

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
        Outcome,
        Row,
        StoreFault,
        Write, //
    },
};

/// Lost answers after which a job gives up. Each one takes the store's deadline of 3 s, and the
/// operator's client waits for 10 s by default.
const MAX_LOST_REPLIES: u32 = 3;
/// Lost races after which a job gives up; each one means that another edit was accepted.
const MAX_RACES: u32 = 64;

/// What the caller of a [`Job`] does next.
#[derive(Clone, Debug)]
pub enum Step {
    /// Read the row [`HEAD_KEY`](super::HEAD_KEY).
    ReadHead,
    /// Read an object.
    GetObject(Arc<str>),
    /// Write an object unless it exists.
    PutObject(Arc<str>, Vec<u8>),
    /// Commit to the table.
    Commit(Vec<Write>),
    /// The job is finished. An edit job returns the accepted edit, a poll job nothing.
    Done(Result<Option<Arc<Edit>>, JobError>),
}

/// Result of a [`Step`].
#[derive(Clone, Debug)]
pub enum StepResult {
    /// The row, if it exists.
    Head(Option<Row>),
    /// The object, if it exists.
    Object(Option<Vec<u8>>),
    /// Whether the object was written now.
    Put(bool),
    /// Outcome of the commit.
    Commit(Outcome),
    /// No answer.
    Failed(StoreFault),
}

/// Why a job ended without success.
#[derive(Clone, Debug)]
pub enum JobError {
    /// The change was refused; nothing was written.
    Refused(EditError),
    /// The platform did not answer; the change certainly was not accepted and will not be.
    Unavailable,
    /// The platform stopped answering; the change may be accepted now or later.
    Uncertain,
    /// An accepted edit cannot be read or converted.
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

#[derive(Debug)]
enum Stage {
    /// Waits for the head.
    Head,
    /// Waits for the snapshot of this version, on the way to the head.
    Snapshot(Version, Option<Row>),
    /// Waits for the next edit on the way to the head.
    Edit(Option<Row>),
    /// Waits for the object after the head, which a failed daemon may have left.
    Uncommitted(Option<Row>),
    /// Waits for the answer to writing the object of the change.
    Put(Option<Row>, ProposedEdit),
    /// Waits for the object that stands where the change was to be written.
    ReadTaken(Option<Row>),
    /// Waits for the commit that accepts this edit.
    Commit(Arc<Edit>),
    /// Waits for the answer to writing the snapshot, which does not matter: the one before serves.
    WriteSnapshot(Option<Arc<Edit>>),
    Done,
}

/// An exchange with the platform. The caller executes each [`Step`] and hands back its answer.
#[derive(Debug)]
pub struct Job {
    change: Option<EditRequest>,
    complete: bool,
    stage: Stage,
    lost_replies: u32,
    lost_races: u32,
    /// Version at which the object of the change may stand.
    maybe_written: Option<Version>,
}

impl Job {
    /// A job that catches up with the head. With `complete` it also accepts an edit whose daemon
    /// failed before it advanced the head.
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

    /// A job that makes a change.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{config::{StepResult, EditRequest, ConfigState, Job, JobError, ItemKind, Step}, store::StoreFault};
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
    /// let step = job.handle(&mut ConfigState::default(), StepResult::Failed(StoreFault::Unavailable));
    /// assert!(matches!(step, Step::Done(Err(JobError::Unavailable))));
    /// ```
    pub fn edit(change: EditRequest) -> Self {
        Self {
            change: Some(change),
            ..Self::poll(false)
        }
    }

    /// The first step.
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

    /// Takes the answer to the last step and returns the next one. `config` is the daemon's one
    /// and may have advanced in between.
    ///
    /// # Panics
    ///
    /// Panics when the answer is not one to the last step.
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
    pub fn handle(&mut self, config: &mut ConfigState, answer: StepResult) -> Step {
        let stage = std::mem::replace(&mut self.stage, Stage::Done);
        match (stage, answer) {
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
            (stage, answer) => panic!("{answer:?} is no answer in {stage:?}"),
        }
    }

    fn end(&mut self, result: Result<Option<Arc<Edit>>, JobError>) -> Step {
        self.stage = Stage::Done;
        Step::Done(result)
    }

    fn fail(&mut self) -> Step {
        let fault = match self.maybe_written {
            Some(_) => JobError::Uncertain,
            None => JobError::Unavailable,
        };
        self.end(Err(fault))
    }

    fn handle_fault(&mut self, stage: Stage, fault: StoreFault) -> Step {
        if let (Stage::Put(_, proposed), StoreFault::Unknown) = (stage, fault) {
            self.maybe_written = Some(proposed.edit.version);
        }
        self.lost_replies += 1;
        if fault == StoreFault::Unavailable || self.lost_replies > MAX_LOST_REPLIES {
            return self.fail();
        }
        // The head tells whether a commit without an answer was applied; reads are repeated.
        self.start()
    }

    fn fail_corrupt(&mut self, name: &str, message: &str) -> Step {
        self.end(Err(JobError::Corrupt(vec![ItemError::new(name, message)])))
    }

    /// Continues from the head that was read.
    fn continue_from_head(&mut self, config: &ConfigState, head: Option<Row>) -> Step {
        let (here, there) = (config.version(), head_version(head.as_ref()));
        if there > here {
            let at = there - there % SNAPSHOT_INTERVAL;
            return self.fetch_next(config, at, head);
        }
        if there < here && self.change.is_some() {
            // Another job of this daemon advanced the configuration after the head was read.
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
        // Another edit has the version at which the own object might have been written.
        self.maybe_written = self.maybe_written.filter(|version| *version > here);
        match config.prepare_edit(change, head.as_ref()) {
            Ok(proposed) => {
                let (name, body) = proposed.object.clone();
                self.stage = Stage::Put(head, proposed);
                Step::PutObject(name, body)
            }
            Err(refusal) => {
                // The refused change was not proposed at this version before, or it would not be
                // refused now.
                assert!(
                    self.maybe_written.is_none(),
                    "a proposed change was refused"
                );
                self.end(Err(JobError::Refused(refusal)))
            }
        }
    }

    /// Reads the head again after a lost race.
    fn restart(&mut self) -> Step {
        self.lost_races += 1;
        match self.lost_races > MAX_RACES {
            true => self.fail(),
            false => self.start(),
        }
    }

    fn fetch_next(&mut self, config: &ConfigState, at: Version, head: Option<Row>) -> Step {
        if at > config.version() + 1 {
            self.stage = Stage::Snapshot(at, head);
            return Step::GetObject(snapshot_name(at));
        }
        self.stage = Stage::Edit(head);
        Step::GetObject(edit_name(config.version() + 1))
    }

    fn apply_snapshot(
        &mut self,
        config: &mut ConfigState,
        at: Version,
        head: Option<Row>,
        body: Option<Vec<u8>>,
    ) -> Step {
        let Some(body) = body else {
            // The daemon that accepted the edit failed before it wrote the snapshot.
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

    /// Reads the object that stands where the change was to be written: an own one whose answer
    /// was lost, or the edit of another daemon.
    fn read_taken(&mut self, head: Option<Row>) -> Step {
        let name = edit_name(head_version(head.as_ref()) + 1);
        self.stage = Stage::ReadTaken(head);
        Step::GetObject(name)
    }

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

    fn commit_edit(&mut self, config: &ConfigState, head: Option<&Row>, edit: Arc<Edit>) -> Step {
        if edit.version != head_version(head) + 1 || config.version() >= edit.version {
            return self.restart();
        }
        let writes = vec![advance(head, edit.version)];
        self.stage = Stage::Commit(edit);
        Step::Commit(writes)
    }

    fn handle_commit(
        &mut self,
        config: &mut ConfigState,
        edit: &Arc<Edit>,
        outcome: &Outcome,
    ) -> Step {
        let Outcome::Applied(_) = outcome else {
            // Another daemon advanced the head, possibly to this same edit.
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

    /// Ends after an edit was accepted, unless it was another one than the change.
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
