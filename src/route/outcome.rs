//! Effects of the outcome of an attempt: health of the target, strikes, retries.

use std::time::Duration;

use super::{
    AttemptOutcome,
    Router,
    Strike,
    request::Request,
    router::service_of,
    service::ServiceState,
    strikes::StrikeStatus, //
};
use crate::model::{
    RetryPolicy,
    TargetId,
    Urgency,
    Verdict, //
};

impl Router {
    /// Updates the health and limit of the target, and the mean hold time of its service.
    pub(super) fn update_target(
        &mut self,
        now: Duration,
        request: &Request,
        target: &TargetId,
        sent: Duration,
        outcome: AttemptOutcome,
    ) {
        let service = service_of(&mut self.services, &request.job);
        if matches!(outcome, AttemptOutcome::Success | AttemptOutcome::Cancelled) {
            service.wait_estimator.add(now, now.saturating_sub(sent));
        }
        let view = service
            .views
            .get_mut(target)
            .expect("view of a running request");
        match outcome {
            AttemptOutcome::Success => view.record_response(),
            AttemptOutcome::Refused => view.record_refusal(now, &self.settings),
            AttemptOutcome::Unreachable | AttemptOutcome::Crashed(_) => {
                view.record_failure(now, &self.settings)
            }
            AttemptOutcome::Cancelled => {}
        }
        service.drop_removed();
    }

    /// Counts a crash and records a strike against the request, unless it did not run.
    pub(super) fn record_crash(
        &mut self,
        now: Duration,
        request: &Request,
        target: &TargetId,
        outcome: AttemptOutcome,
    ) -> Option<Strike> {
        let AttemptOutcome::Crashed(verdict) = outcome else {
            return None;
        };
        self.stats.crashes += 1;
        if verdict == Verdict::NotRun {
            return None;
        }
        let fingerprint = request.job.fingerprint;
        self.strikes.add(now, fingerprint, target);
        Some(Strike {
            fingerprint,
            target: target.clone(),
        })
    }

    /// Whether the request is to be retried; takes the retry from the budget. A request that may
    /// have run is repeated at most once, and only if it is idempotent.
    pub(super) fn take_retry(
        &mut self,
        now: Duration,
        request: &Request,
        outcome: AttemptOutcome,
    ) -> bool {
        let allowed = match outcome {
            AttemptOutcome::Success
            | AttemptOutcome::Cancelled
            | AttemptOutcome::Crashed(Verdict::Ran) => false,
            AttemptOutcome::Refused
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Crashed(Verdict::NotRun) => true,
            AttemptOutcome::Crashed(Verdict::MayHaveRun) => {
                request.job.repeat == RetryPolicy::Idempotent && !request.crash_retried
            }
        };
        let status = self.strikes.status(now, request.job.fingerprint);
        if !allowed || now >= request.job.deadline || status == StrikeStatus::Blocked {
            return false;
        }
        let granted = service_of(&mut self.services, &request.job)
            .retries
            .try_take();
        self.stats.denied += u64::from(!granted);
        granted
    }
}

/// Frees the slot that a request occupied on its target.
pub(super) fn free_slot(
    service: &mut ServiceState,
    request: &Request,
    target: &TargetId,
    sent: Duration,
) {
    let view = service
        .views
        .get_mut(target)
        .expect("view of a running request");
    assert!(
        view.running.remove(&request.job.ticket),
        "a slot is freed twice"
    );
    view.pending[request.job.urgency as usize].remove(&(sent, request.job.ticket));
    view.patient -= u32::from(request.job.urgency == Urgency::Patient);
}
