//! One exchange with the platform: read the head, catch up, and propose a change.

use std::{
    error::Error,
    fmt,
    sync::Arc, //
};

use super::{
    SNAPSHOT_EVERY,
    check::ItemFault,
    edit::{
        Batch,
        Change,
        Edit,
        Proposed,
        Refusal,
        edit_name,
        snapshot_due,
        snapshot_name, //
    },
    machine::{
        Config,
        Received,
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

/// Lost answers after which a job gives up. Each one takes the store's deadline of 3 s, and the
/// operator's client waits for 10 s by default.
const MOST_LOST: u32 = 3;
/// Lost races after which a job gives up; each one means that another edit was accepted.
const MOST_RACES: u32 = 64;

/// What the caller of a [`Job`] does next.
#[derive(Clone, Debug)]
pub enum Step {
    /// Read the row [`HEAD`](super::HEAD).
    Head,
    /// Read an object.
    Get(Arc<str>),
    /// Write an object unless it exists.
    Put(Arc<str>, Vec<u8>),
    /// Commit to the table.
    Commit(Vec<Write>),
    /// The job is finished. An edit job returns the accepted edit, a poll job nothing.
    Done(Result<Option<Arc<Edit>>, JobFault>),
}

/// Answer to a [`Step`].
#[derive(Clone, Debug)]
pub enum Answer {
    /// The row, if it exists.
    Head(Option<Row>),
    /// The object, if it exists.
    Object(Option<Vec<u8>>),
    /// Whether the object was written now.
    Put(bool),
    /// Answer to the commit.
    Commit(CommitOutcome),
    /// No answer.
    Fault(StoreError),
}

/// Why a job ended without success.
#[derive(Clone, Debug)]
pub enum JobFault {
    /// The change was refused; nothing was written.
    Refused(Refusal),
    /// The platform did not answer; the change certainly was not accepted and will not be.
    Unavailable,
    /// The platform stopped answering; the change may be accepted now or later.
    Uncertain,
    /// An accepted edit cannot be read or converted.
    Corrupt(Vec<ItemFault>),
}

impl fmt::Display for JobFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JobFault::Refused(refusal) => refusal.fmt(f),
            JobFault::Unavailable => {
                f.write_str("the platform's store does not answer; nothing was changed")
            }
            JobFault::Uncertain => f.write_str(
                "the platform's store stopped answering; the change may be accepted, now or later",
            ),
            JobFault::Corrupt(faults) => {
                let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
                write!(
                    f,
                    "an accepted edit cannot be applied: {}",
                    texts.join("; ")
                )
            }
        }
    }
}

impl Error for JobFault {}

#[derive(Debug)]
enum Stage {
    /// Waits for the head.
    Head,
    /// Waits for the snapshot of this version, on the way to the head.
    Snapshot(Version, Option<Row>),
    /// Waits for the next edit on the way to the head.
    Edit(Option<Row>),
    /// Waits for the object after the head, which a failed daemon may have left.
    Left(Option<Row>),
    /// Waits for the answer to writing the object of the change.
    Put(Option<Row>, Proposed),
    /// Waits for the object that stands where the change was to be written.
    Look(Option<Row>),
    /// Waits for the commit that accepts this edit.
    Commit(Arc<Edit>),
    /// Waits for the answer to writing the snapshot, which does not matter: the one before serves.
    Archive(Option<Arc<Edit>>),
    Over,
}

/// An exchange with the platform. The caller executes each [`Step`] and hands back its answer.
#[derive(Debug)]
pub struct Job {
    change: Option<Change>,
    complete: bool,
    stage: Stage,
    lost: u32,
    races: u32,
    /// Version at which the object of the change may stand.
    written: Option<Version>,
}

impl Job {
    /// A job that catches up with the head. With `complete` it also accepts an edit whose daemon
    /// failed before it advanced the head.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::config::{Answer, Config, Job, Step};
    /// let (mut config, mut job) = (Config::default(), Job::poll(false));
    /// assert!(matches!(job.start(), Step::Head));
    /// let step = job.handle(&mut config, Answer::Head(None));
    /// assert!(matches!(step, Step::Done(Ok(None))));
    /// ```
    pub fn poll(complete: bool) -> Self {
        Self {
            change: None,
            complete,
            stage: Stage::Head,
            lost: 0,
            races: 0,
            written: None,
        }
    }

    /// A job that makes a change.
    ///
    /// # Examples
    ///
    /// ```
    /// use cuminloom::{config::{Answer, Change, Config, Job, JobFault, Kind, Step}, store::StoreError};
    /// let mut job = Job::edit(Change {
    ///     kind: Kind::Stop,
    ///     name: "friday".into(),
    ///     value: None,
    ///     if_match: Some(1),
    ///     operator: "ann".into(),
    ///     time: 0,
    ///     request: "1".into(),
    /// });
    /// job.start();
    /// let step = job.handle(&mut Config::default(), Answer::Fault(StoreError::Unavailable));
    /// assert!(matches!(step, Step::Done(Err(JobFault::Unavailable))));
    /// ```
    pub fn edit(change: Change) -> Self {
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
    /// assert!(matches!(Job::poll(true).start(), Step::Head));
    /// ```
    pub fn start(&mut self) -> Step {
        self.stage = Stage::Head;
        Step::Head
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
    /// use cuminloom::config::{Answer, Config, Job, Step};
    /// let mut job = Job::poll(true);
    /// job.start();
    /// let step = job.handle(&mut Config::default(), Answer::Head(None));
    /// assert!(matches!(step, Step::Get(name) if &*name == "config/edit/1"));
    /// ```
    pub fn handle(&mut self, config: &mut Config, answer: Answer) -> Step {
        let stage = std::mem::replace(&mut self.stage, Stage::Over);
        match (stage, answer) {
            (Stage::Archive(edit), _) => self.finish(edit),
            (stage, Answer::Fault(fault)) => self.fault(stage, fault),
            (Stage::Head, Answer::Head(head)) => {
                config.notice(head_version(head.as_ref()));
                self.advance(config, head)
            }
            (Stage::Snapshot(at, head), Answer::Object(body)) => {
                self.snapshot(config, at, head, body)
            }
            (Stage::Edit(head), Answer::Object(body)) => self.next_edit(config, head, body),
            (Stage::Left(head), Answer::Object(body)) => self.left(config, head, body),
            (Stage::Put(_, proposed), Answer::Put(true)) => {
                self.written = Some(proposed.edit.version);
                self.stage = Stage::Commit(proposed.edit);
                Step::Commit(proposed.commit)
            }
            (Stage::Put(head, _), Answer::Put(false)) => self.look(head),
            (Stage::Look(head), Answer::Object(body)) => self.looked(config, head, body),
            (Stage::Commit(edit), Answer::Commit(outcome)) => {
                self.committed(config, &edit, &outcome)
            }
            (stage, answer) => panic!("{answer:?} is no answer in {stage:?}"),
        }
    }

    fn done(&mut self, result: Result<Option<Arc<Edit>>, JobFault>) -> Step {
        self.stage = Stage::Over;
        Step::Done(result)
    }

    fn fail(&mut self) -> Step {
        let fault = match self.written {
            Some(_) => JobFault::Uncertain,
            None => JobFault::Unavailable,
        };
        self.done(Err(fault))
    }

    fn fault(&mut self, stage: Stage, fault: StoreError) -> Step {
        if let (Stage::Put(_, proposed), StoreError::Unknown) = (stage, fault) {
            self.written = Some(proposed.edit.version);
        }
        self.lost += 1;
        if fault == StoreError::Unavailable || self.lost > MOST_LOST {
            return self.fail();
        }
        // The head tells whether a commit without an answer was applied; reads are repeated.
        self.start()
    }

    fn corrupt(&mut self, name: &str, message: &str) -> Step {
        self.done(Err(JobFault::Corrupt(vec![ItemFault::new(name, message)])))
    }

    /// Continues from the head that was read.
    fn advance(&mut self, config: &Config, head: Option<Row>) -> Step {
        let (here, there) = (config.version(), head_version(head.as_ref()));
        if there > here {
            let at = there - there % SNAPSHOT_EVERY;
            return self.fetch(config, at, head);
        }
        if there < here && self.change.is_some() {
            // Another job of this daemon advanced the configuration after the head was read.
            return self.again();
        }
        let Some(change) = &self.change else {
            if !self.complete || there < here {
                return self.done(Ok(None));
            }
            self.stage = Stage::Left(head);
            return Step::Get(edit_name(there + 1));
        };
        match config.recorded(change) {
            Some(Ok(edit)) => return self.done(Ok(Some(edit))),
            Some(Err(refusal)) => return self.done(Err(JobFault::Refused(refusal))),
            None => {}
        }
        // Another edit has the version at which the own object might have been written.
        self.written = self.written.filter(|version| *version > here);
        match config.edit(change, head.as_ref()) {
            Ok(proposed) => {
                let (name, body) = proposed.object.clone();
                self.stage = Stage::Put(head, proposed);
                Step::Put(name, body)
            }
            Err(refusal) => {
                // The refused change was not proposed at this version before, or it would not be
                // refused now.
                assert!(self.written.is_none(), "a proposed change was refused");
                self.done(Err(JobFault::Refused(refusal)))
            }
        }
    }

    /// Reads the head again after a lost race.
    fn again(&mut self) -> Step {
        self.races += 1;
        match self.races > MOST_RACES {
            true => self.fail(),
            false => self.start(),
        }
    }

    fn fetch(&mut self, config: &Config, at: Version, head: Option<Row>) -> Step {
        if at > config.version() + 1 {
            self.stage = Stage::Snapshot(at, head);
            return Step::Get(snapshot_name(at));
        }
        self.stage = Stage::Edit(head);
        Step::Get(edit_name(config.version() + 1))
    }

    fn snapshot(
        &mut self,
        config: &mut Config,
        at: Version,
        head: Option<Row>,
        body: Option<Vec<u8>>,
    ) -> Step {
        let Some(body) = body else {
            // The daemon that accepted the edit failed before it wrote the snapshot.
            return self.fetch(config, at.saturating_sub(SNAPSHOT_EVERY), head);
        };
        let Ok(batch) = serde_json::from_slice::<Batch>(&body) else {
            return self.corrupt(&snapshot_name(at), "is no snapshot");
        };
        match config.receive(&batch) {
            Ok(_) if config.version() >= at => self.advance(config, head),
            Ok(_) => self.corrupt(&snapshot_name(at), "is the snapshot of another version"),
            Err(faults) => self.done(Err(JobFault::Corrupt(faults))),
        }
    }

    fn next_edit(&mut self, config: &mut Config, head: Option<Row>, body: Option<Vec<u8>>) -> Step {
        let Some(edit) = body.as_deref().and_then(read) else {
            return self.corrupt("config/edit", "an accepted edit is missing or unreadable");
        };
        match accept(config, &edit) {
            Ok(Received::Gap) => self.corrupt("config/edit", "an edit has another version"),
            Ok(_) if config.version() >= head_version(head.as_ref()) => self.advance(config, head),
            Ok(_) => self.fetch(config, 0, head),
            Err(faults) => self.done(Err(JobFault::Corrupt(faults))),
        }
    }

    fn left(&mut self, config: &Config, head: Option<Row>, body: Option<Vec<u8>>) -> Step {
        match body.as_deref().map(read) {
            None => self.done(Ok(None)),
            Some(None) => self.corrupt("config/edit", "the next edit is unreadable"),
            Some(Some(edit)) => self.commit(config, head.as_ref(), edit),
        }
    }

    /// Reads the object that stands where the change was to be written: an own one whose answer
    /// was lost, or the edit of another daemon.
    fn look(&mut self, head: Option<Row>) -> Step {
        let name = edit_name(head_version(head.as_ref()) + 1);
        self.stage = Stage::Look(head);
        Step::Get(name)
    }

    fn looked(&mut self, config: &Config, head: Option<Row>, body: Option<Vec<u8>>) -> Step {
        match body.as_deref().and_then(read) {
            Some(edit) => self.commit(config, head.as_ref(), edit),
            None => self.corrupt("config/edit", "the next edit is missing or unreadable"),
        }
    }

    fn commit(&mut self, config: &Config, head: Option<&Row>, edit: Arc<Edit>) -> Step {
        if edit.version != head_version(head) + 1 || config.version() >= edit.version {
            return self.again();
        }
        let writes = vec![advance(head, edit.version)];
        self.stage = Stage::Commit(edit);
        Step::Commit(writes)
    }

    fn committed(
        &mut self,
        config: &mut Config,
        edit: &Arc<Edit>,
        outcome: &CommitOutcome,
    ) -> Step {
        let CommitOutcome::Applied(_) = outcome else {
            // Another daemon advanced the head, possibly to this same edit.
            return self.again();
        };
        if let Err(faults) = accept(config, edit) {
            return self.done(Err(JobFault::Corrupt(faults)));
        }
        let own = self.change.as_ref().is_some_and(|it| edit.answers(it));
        let result = own.then(|| edit.clone());
        if snapshot_due(edit.version) && config.version() == edit.version {
            let batch = config.snapshot();
            let body = serde_json::to_vec(&batch).expect("edits have string keys");
            self.stage = Stage::Archive(result);
            return Step::Put(snapshot_name(edit.version), body);
        }
        self.finish(result)
    }

    /// Ends after an edit was accepted, unless it was another one than the change.
    fn finish(&mut self, own: Option<Arc<Edit>>) -> Step {
        match own.is_none() && self.change.is_some() {
            true => self.start(),
            false => self.done(Ok(own)),
        }
    }
}

fn read(body: &[u8]) -> Option<Arc<Edit>> {
    serde_json::from_slice(body).ok()
}

fn accept(config: &mut Config, edit: &Arc<Edit>) -> Result<Received, Vec<ItemFault>> {
    config.receive(&Batch {
        version: edit.version,
        full: false,
        edits: vec![edit.clone()],
    })
}
