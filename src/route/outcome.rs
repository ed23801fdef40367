//! What follows from the end of a request: health, strikes, retries.

use std::time::Duration;

use super::{
    AttemptOutcome,
    Router,
    Strike,
    request::Ticket,
    router::service_of,
    service::Service,
    strikes::Standing, //
};
use crate::model::{
    Repeat,
    TargetId,
    Urgency,
    Verdict, //
};

impl Router {
    /// Updates the view of the target by how a request on it ended.
    pub(super) fn judge(
        &mut self,
        now: Duration,
        open: &Ticket,
        target: &TargetId,
        sent: Duration,
        ended: AttemptOutcome,
    ) {
        let service = service_of(&mut self.services, &open.job);
        if matches!(ended, AttemptOutcome::Success | AttemptOutcome::Cancelled) {
            service.completions.add(now, now.saturating_sub(sent));
        }
        let view = service
            .views
            .get_mut(target)
            .expect("view of a running request");
        match ended {
            AttemptOutcome::Success => view.answered(),
            AttemptOutcome::Refused => view.refused(now, &self.settings),
            AttemptOutcome::Unreachable | AttemptOutcome::Crashed(_) => {
                view.failed(now, &self.settings)
            }
            AttemptOutcome::Cancelled => {}
        }
        service.purge();
    }

    pub(super) fn strike_for(
        &mut self,
        now: Duration,
        open: &Ticket,
        target: &TargetId,
        ended: AttemptOutcome,
    ) -> Option<Strike> {
        let AttemptOutcome::Crashed(verdict) = ended else {
            return None;
        };
        self.stats.crashes += 1;
        if verdict == Verdict::NotRun {
            return None;
        }
        let fingerprint = open.job.fingerprint;
        self.strikes.add(now, fingerprint, target);
        Some(Strike {
            fingerprint,
            target: target.clone(),
        })
    }

    pub(super) fn may_retry(
        &mut self,
        now: Duration,
        open: &Ticket,
        ended: AttemptOutcome,
    ) -> bool {
        let allowed = match ended {
            AttemptOutcome::Success
            | AttemptOutcome::Cancelled
            | AttemptOutcome::Crashed(Verdict::Ran) => false,
            AttemptOutcome::Refused
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Crashed(Verdict::NotRun) => true,
            AttemptOutcome::Crashed(Verdict::MayHaveRun) => {
                open.job.repeat == Repeat::Idempotent && !open.crashed
            }
        };
        let standing = self.strikes.standing(now, open.job.fingerprint);
        if !allowed || now >= open.job.deadline || standing == Standing::Blocked {
            return false;
        }
        let granted = service_of(&mut self.services, &open.job).retries.take();
        self.stats.denied += u64::from(!granted);
        granted
    }
}

/// Frees the slot of a request.
pub(super) fn release(service: &mut Service, open: &Ticket, target: &TargetId, sent: Duration) {
    let view = service
        .views
        .get_mut(target)
        .expect("view of a running request");
    assert!(
        view.running.remove(&open.job.ticket),
        "a slot is freed once"
    );
    view.pending[open.job.urgency as usize].remove(&(sent, open.job.ticket));
    view.patient -= u32::from(open.job.urgency == Urgency::Patient);
}
