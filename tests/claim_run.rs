//! Claims of idempotency keys under lost replies, delayed writes, and retries of the caller at
//! several daemons.

use cuminloom::{
    claim::{
        Claim,
        ClaimRow,
        ClaimState,
        ClaimStep,
        Decision,
        Issuer,
        KeyDecision,
        RecordedResponse,
        TableReply, //
    },
    model::Verdict,
    store::{
        StoreError,
        Write, //
    },
};
use cuminloom_standins::store::MemStore;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// Number of simulated runs; each uses its number as seed.
const SEEDS: u64 = 400;
/// Requests with the same key in one run.
const REQUESTS: u64 = 12;
/// Time of the claims, in seconds since the Unix epoch.
const NOW_S: u64 = 1_764_800_000;

/// Safeguard that a run disables to show that it is needed.
#[derive(Clone, Copy, PartialEq)]
enum DisabledGuard {
    /// No safeguard is disabled.
    Nothing,
    /// The put-if-absent of the claim: the claim overwrites any existing row.
    PutIfAbsent,
    /// The handling of lost replies: a request is sent although the reply to its claim was lost.
    LostReply,
}

/// One request that claims the key.
struct Attempt {
    claim: Claim,
    step: ClaimStep,
}

/// Simulated platform and target for one key.
struct World {
    store: MemStore,
    /// Writes that are applied later.
    delayed: Vec<Write>,
    rng: StdRng,
    /// How often the request ran.
    ran: u32,
    disabled: DisabledGuard,
}

impl World {
    /// Commits a write; the platform may be unavailable, lose the reply, or apply the write later.
    fn commit(&mut self, mut write: Write) -> TableReply {
        if self.disabled == DisabledGuard::PutIfAbsent {
            write.precondition = cuminloom::store::Precondition::Any;
        }
        match self.rng.random_range(0..5) {
            0 => TableReply::Commit(Err(StoreError::Unavailable)),
            1 => {
                self.store.commit(&[write]);
                TableReply::Commit(Err(StoreError::Unknown))
            }
            2 => {
                self.delayed.push(write);
                TableReply::Commit(Err(StoreError::Unknown))
            }
            _ => TableReply::Commit(Ok(self.store.commit(&[write]))),
        }
    }

    /// Applies one delayed write, sometimes.
    fn apply_delayed(&mut self) {
        if !self.delayed.is_empty() && self.rng.random_bool(0.3) {
            let at = self.rng.random_range(0..self.delayed.len());
            let write = self.delayed.swap_remove(at);
            self.store.commit(&[write]);
        }
    }

    /// Executes one step of an attempt; returns the decision once there is one.
    fn advance(&mut self, attempt: &mut Attempt) -> Option<Decision> {
        let reply = match attempt.step.clone() {
            ClaimStep::Commit(write) => self.commit(write),
            ClaimStep::Read(key) if self.rng.random_bool(0.7) => {
                TableReply::Read(Ok(self.store.read(&key)))
            }
            ClaimStep::Read(_) => TableReply::Read(Err(StoreError::Unknown)),
            ClaimStep::Decided(decision) => return Some(decision),
        };
        let lost = matches!(reply, TableReply::Commit(Err(StoreError::Unknown)));
        if lost && self.disabled == DisabledGuard::LostReply {
            return Some(Decision::Proceed);
        }
        attempt.step = attempt.claim.handle_reply(reply);
        None
    }

    /// Sends the request; it does not run, runs, or runs without a recorded response.
    fn send(&mut self, claim: &Claim) {
        match self.rng.random_range(0..3) {
            0 => {
                let release = claim.release_write();
                release.map(|write| self.commit(write));
            }
            1 => {
                self.ran += 1;
                let record = claim.record_write(RecordedResponse::new(200, "text/plain", b"ok"));
                record.map(|write| self.commit(write));
            }
            _ => self.ran += 1,
        }
    }
}

/// Simulates requests with one key at several daemons at once, without the safeguard `disabled`;
/// returns how often the request ran.
fn simulate(seed: u64, disabled: DisabledGuard) -> u32 {
    let mut world = World {
        store: MemStore::default(),
        delayed: Vec::new(),
        rng: StdRng::seed_from_u64(seed),
        ran: 0,
        disabled,
    };
    let mut attempts: Vec<Attempt> = (0..REQUESTS).map(start).collect();
    while !attempts.is_empty() {
        world.apply_delayed();
        let at = world.rng.random_range(0..attempts.len());
        let Some(decision) = world.advance(&mut attempts[at]) else {
            continue;
        };
        let attempt = attempts.swap_remove(at);
        match decision {
            Decision::Proceed => world.send(&attempt.claim),
            Decision::Replay(_) => assert!(world.ran > 0, "seed {seed}: replay without a run"),
            Decision::Refuse {
                needs_release: true,
                error,
            } => {
                assert_eq!(error.verdict, Verdict::NotRun);
                let row = world.store.read(&attempt.claim.row_key());
                let release = attempt.claim.release_after_read(row.as_ref());
                release.map(|write| world.commit(write));
            }
            Decision::Refuse { .. } => {}
        }
    }
    world.ran
}

/// Starts the claim number `nonce` of the key; the claims are spread over three daemons.
fn start(nonce: u64) -> Attempt {
    let row = ClaimRow {
        owner: format!("vm-{}.0a", nonce % 3).into(),
        nonce,
        fingerprint: "ff".into(),
        claimed_at: NOW_S,
        state: ClaimState::Claimed,
    };
    let claim = Claim::new("anod", "deposit-17", row);
    let step = claim.first_step();
    Attempt { claim, step }
}

/// Guards against a second run of a request when the reply to a claim is lost, its write is applied
/// late, or several daemons claim the same key at once.
#[test]
fn a_key_runs_at_most_once() {
    let ran: u32 = (0..SEEDS)
        .map(|seed| simulate(seed, DisabledGuard::Nothing))
        .inspect(|&ran| {
            assert!(ran <= 1, "the request ran {ran} times");
        })
        .sum();
    assert!(
        ran > 100,
        "too few requests ran for the test to be meaningful: {ran}"
    );
}

/// Shows that a request can run twice without the put-if-absent or without the handling of lost
/// replies.
#[test]
fn each_guard_matters() {
    for disabled in [DisabledGuard::PutIfAbsent, DisabledGuard::LostReply] {
        assert!((0..SEEDS).any(|seed| simulate(seed, disabled) > 1));
    }
}

/// Guards against a key that is accepted with another request, and against a key that addresses the
/// row of another customer.
#[test]
fn a_key_is_bound_to_its_request_and_customer() {
    let mut store = MemStore::default();
    let mut first = start(0);
    let ClaimStep::Commit(write) = first.step.clone() else {
        panic!("a claim starts with a write")
    };
    let reply = TableReply::Commit(Ok(store.commit(&[write])));
    assert_eq!(
        first.claim.handle_reply(reply),
        ClaimStep::Decided(Decision::Proceed)
    );

    let row = ClaimRow {
        owner: "vm-9.0a".into(),
        nonce: 1,
        fingerprint: "another body".into(),
        claimed_at: NOW_S,
        state: ClaimState::Claimed,
    };
    let mut other = Claim::new("anod", "deposit-17", row.clone());
    let ClaimStep::Commit(write) = other.first_step() else {
        panic!("a claim starts with a write")
    };
    let step = other.handle_reply(TableReply::Commit(Ok(store.commit(&[write]))));
    let ClaimStep::Decided(Decision::Refuse { error, .. }) = step else {
        panic!("a key with another request was not refused")
    };
    assert_eq!(error.code.as_str(), "key_reused");

    let spoofed = Claim::new("an", "od/deposit-17", row);
    assert_ne!(spoofed.row_key(), first.claim.row_key());
}

/// Guards against a second run with an issued key that has expired and was forgotten, also after
/// the wall clock was set back.
#[test]
fn an_expired_issued_key_never_runs() {
    let mut issuer = Issuer::new("vm-1.0a".into(), b"secret");
    let key = issuer.issue("anod", NOW_S);
    assert_eq!(
        issuer.begin(&key, "anod", "ff", NOW_S),
        KeyDecision::Proceed
    );
    let later = issuer.issue("anod", NOW_S + 8_000);
    issuer.begin(&later, "anod", "ee", NOW_S + 8_000);
    for unix in [NOW_S + 8_001, NOW_S + 1] {
        let KeyDecision::Refuse(error) = issuer.begin(&key, "anod", "ff", unix) else {
            panic!("an expired key was accepted");
        };
        assert_eq!(error.verdict, Verdict::MayHaveRun);
    }
}

/// Guards against a key that stays claimed for ever because a delayed write of the claim is applied
/// after its release. This happened when a platform that hung responded again.
#[test]
fn a_write_that_arrives_after_the_release_has_no_effect() {
    let mut store = MemStore::default();
    let mut first = start(0);
    let ClaimStep::Commit(late) = first.step.clone() else {
        panic!("a claim starts with a write")
    };
    first.step = first
        .claim
        .handle_reply(TableReply::Commit(Err(StoreError::Unknown)));
    let release = first
        .claim
        .release_after_read(store.read(&first.claim.row_key()).as_ref());
    store.commit(&[release.expect("no other request has the key")]);
    store.commit(&[late]);

    let mut again = start(1);
    let ClaimStep::Commit(write) = again.step.clone() else {
        panic!("a claim starts with a write")
    };
    let step = again
        .claim
        .handle_reply(TableReply::Commit(Ok(store.commit(&[write]))));
    let ClaimStep::Commit(write) = step else {
        panic!("a released key cannot be claimed again: {step:?}")
    };
    let step = again
        .claim
        .handle_reply(TableReply::Commit(Ok(store.commit(&[write]))));
    assert_eq!(step, ClaimStep::Decided(Decision::Proceed));
}
