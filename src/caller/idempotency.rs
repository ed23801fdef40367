//! Idempotency keys of requests: claimed before the request runs, recorded when it has ended.

use std::sync::Arc;

use crate::{
    claim::{
        Claim,
        ClaimRow,
        ClaimState,
        ClaimStep,
        Decision,
        IssuedKey,
        KeyDecision,
        RecordedResponse,
        TableReply, //
    },
    kernel::Context,
    model::{
        Code,
        Incarnation,
        RequestError,
        Verdict, //
    },
    store::Table, //
};

/// How to proceed with a request that has an idempotency key.
pub(crate) enum KeyAction<'a> {
    /// Run it and report its end through the guard.
    Run(KeyGuard<'a>),
    /// It ran before: respond with the recorded response.
    Replay(RecordedResponse),
    /// Forward it to the incarnation that issued the key.
    Forward(Incarnation),
    /// Refuse it with this error.
    Refuse(RequestError),
}

/// An idempotency key that is claimed for a running request. `claim` is `None` for a key that this
/// process issued, which needs no row in the store.
pub(crate) struct KeyGuard<'a> {
    ctx: &'a Context,
    customer: &'a str,
    key: &'a str,
    claim: Option<Claim>,
}

/// Claims `key` for a request of `customer`; `fingerprint` comes from [`fingerprint()`].
pub(crate) fn begin<'a>(
    ctx: &'a Context,
    customer: &'a str,
    key: &'a str,
    fingerprint: &str,
) -> KeyAction<'a> {
    if IssuedKey::has_issued_form(key) {
        return begin_issued(ctx, customer, key, fingerprint);
    }
    if !ctx.node.stats().platform_up {
        // A call to an unreachable platform would only delay the refusal.
        let detail = "the platform is not reachable; use a key from POST /v1/keys";
        return KeyAction::Refuse(RequestError::not_run(Code::StoreUnavailable, detail));
    }
    let row = ClaimRow {
        owner: ctx.process.clone(),
        nonce: ctx.claims.next_nonce(),
        fingerprint: fingerprint.into(),
        claimed_at: ctx.clock.unix(),
        state: ClaimState::Claimed,
    };
    let mut claim = Claim::new(customer, key, row);
    match run_claim(ctx, &mut claim) {
        Decision::Proceed => KeyAction::Run(KeyGuard {
            ctx,
            customer,
            key,
            claim: Some(claim),
        }),
        Decision::Replay(recorded) => KeyAction::Replay(recorded),
        Decision::Refuse {
            error: fault,
            needs_release: cleanup,
        } => {
            if cleanup {
                ctx.claims.queue_release(claim);
            }
            KeyAction::Refuse(fault)
        }
    }
}

/// Handles a key that has the form of an issued one.
fn begin_issued<'a>(
    ctx: &'a Context,
    customer: &'a str,
    key: &'a str,
    fingerprint: &str,
) -> KeyAction<'a> {
    let found = ctx
        .claims
        .issuer()
        .begin(key, customer, fingerprint, ctx.clock.unix());
    match found {
        KeyDecision::Proceed => KeyAction::Run(KeyGuard {
            ctx,
            customer,
            key,
            claim: None,
        }),
        KeyDecision::Replay(recorded) => KeyAction::Replay(recorded),
        KeyDecision::OtherOwner(owner) => KeyAction::Forward(owner),
        KeyDecision::Refuse(error) => KeyAction::Refuse(error),
    }
}

/// Executes the store operations of a claim until it is decided.
fn run_claim(ctx: &Context, claim: &mut Claim) -> Decision {
    let mut step = claim.first_step();
    loop {
        let answer = match step {
            ClaimStep::Commit(write) => TableReply::Commit(ctx.store.commit(&[write])),
            ClaimStep::Read(key) => TableReply::Read(ctx.store.read(&key)),
            ClaimStep::Decided(decision) => return decision,
        };
        step = claim.handle_reply(answer);
    }
}

impl KeyGuard<'_> {
    /// Records the response of the request, or releases the key if the request did not run.
    pub(crate) fn finish(self, result: Result<RecordedResponse, &RequestError>) {
        match (result, self.claim) {
            (Ok(recorded), Some(claim)) => self.ctx.claims.queue_record(claim, recorded),
            (Ok(recorded), None) => {
                self.ctx
                    .claims
                    .issuer()
                    .record(self.key, self.customer, Some(recorded));
            }
            (Err(error), Some(claim)) if error.verdict == Verdict::NotRun => {
                self.ctx.claims.queue_release(claim);
            }
            (Err(error), None) if error.verdict == Verdict::NotRun => {
                self.ctx.claims.issuer().release(self.key, self.customer);
            }
            (Err(_), None) => self
                .ctx
                .claims
                .issuer()
                .record(self.key, self.customer, None),
            // The claim stays in the store: the request may have run.
            (Err(_), Some(_)) => {}
        }
    }
}

/// Hex SHA-256 over profile, method, path and body, each with its length. A key that is reused with
/// another fingerprint is refused.
pub(crate) fn fingerprint(profile: &str, method: &str, path: &str, body: &[u8]) -> Arc<str> {
    use sha2::Digest;
    let mut digest = sha2::Sha256::new();
    for part in [profile.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    hex::encode(digest.finalize()).into()
}
