//! Requests with an idempotency key: the claim before the run and the record after it.

use std::sync::Arc;

use crate::{
    claim::{
        Answer,
        Claim,
        ClaimRow,
        ClaimState,
        Decision,
        Lookup,
        Minted,
        Recorded,
        Step, //
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

/// What to do with a request that carries a key.
pub(crate) enum Begin<'a> {
    /// Run it, and report its end to the guard.
    Run(Keyed<'a>),
    /// Repeat this answer.
    Replay(Recorded),
    /// Pass it on to the process that minted the key.
    Forward(Incarnation),
    /// Refuse it.
    Refuse(RequestError),
}

/// A key that is claimed for a running request.
pub(crate) struct Keyed<'a> {
    ctx: &'a Context,
    customer: &'a str,
    key: &'a str,
    claim: Option<Claim>,
}

/// Claims `key` for a request of `customer` whose fingerprint is `print`.
pub(crate) fn begin<'a>(
    ctx: &'a Context,
    customer: &'a str,
    key: &'a str,
    print: &str,
) -> Begin<'a> {
    if Minted::looks_like(key) {
        return present(ctx, customer, key, print);
    }
    if !ctx.node.stats().platform_up {
        // Asking a platform that does not respond would only make the caller wait.
        let detail = "the platform is away; use a key from POST /v1/keys";
        return Begin::Refuse(RequestError::not_run(Code::StoreUnavailable, detail));
    }
    let row = ClaimRow {
        owner: ctx.process.clone(),
        nonce: ctx.claims.next_nonce(),
        print: print.into(),
        at: ctx.clock.unix(),
        state: ClaimState::Claimed,
    };
    let mut claim = Claim::new(customer, key, row);
    match decide(ctx, &mut claim) {
        Decision::Proceed => Begin::Run(Keyed {
            ctx,
            customer,
            key,
            claim: Some(claim),
        }),
        Decision::Replay(recorded) => Begin::Replay(recorded),
        Decision::Refuse { fault, cleanup } => {
            if cleanup {
                ctx.claims.release_later(claim);
            }
            Begin::Refuse(fault)
        }
    }
}

fn present<'a>(ctx: &'a Context, customer: &'a str, key: &'a str, print: &str) -> Begin<'a> {
    let found = ctx
        .claims
        .issuer()
        .present(key, customer, print, ctx.clock.unix());
    match found {
        Lookup::Proceed => Begin::Run(Keyed {
            ctx,
            customer,
            key,
            claim: None,
        }),
        Lookup::Replay(recorded) => Begin::Replay(recorded),
        Lookup::Elsewhere(owner) => Begin::Forward(owner),
        Lookup::Refuse(fault) => Begin::Refuse(fault),
    }
}

fn decide(ctx: &Context, claim: &mut Claim) -> Decision {
    let mut step = claim.first();
    loop {
        let answer = match step {
            Step::Commit(write) => Answer::Commit(ctx.store.commit(&[write])),
            Step::Read(key) => Answer::Read(ctx.store.read(&key)),
            Step::Decided(decision) => return decision,
        };
        step = claim.answer(answer);
    }
}

impl Keyed<'_> {
    /// Reports the end of the request: its answer, or the fault with its verdict.
    pub(crate) fn finish(self, result: Result<Recorded, &RequestError>) {
        match (result, self.claim) {
            (Ok(recorded), Some(claim)) => self.ctx.claims.record_later(claim, recorded),
            (Ok(recorded), None) => {
                self.ctx
                    .claims
                    .issuer()
                    .record(self.key, self.customer, Some(recorded));
            }
            (Err(fault), Some(claim)) if fault.verdict == Verdict::NotRun => {
                self.ctx.claims.release_later(claim);
            }
            (Err(fault), None) if fault.verdict == Verdict::NotRun => {
                self.ctx.claims.issuer().release(self.key, self.customer);
            }
            (Err(_), None) => self
                .ctx
                .claims
                .issuer()
                .record(self.key, self.customer, None),
            // The row keeps saying that the request may have run.
            (Err(_), Some(_)) => {}
        }
    }
}

/// SHA-256, in hex, of what a request with a key consists of.
pub(crate) fn fingerprint(profile: &str, method: &str, path: &str, body: &[u8]) -> Arc<str> {
    use sha2::Digest;
    let mut digest = sha2::Sha256::new();
    for part in [profile.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    hex::encode(digest.finalize()).into()
}
