//! Measures the use of this VM's link and processor, and refuses requests while it is overloaded.

use std::{
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::sleep_until;

use super::{
    Core,
    call::Call,
    response::Refusal, //
};
use crate::{
    clock::cpu_time,
    decide::{
        AdmissionControl,
        Arrival,
        Capacity,
        OverloadChange,
        Usage, //
    },
    http::bytes_moved,
};

/// Code of requests that an overloaded daemon refuses.
const OVERLOAD_CODE: &str = "overloaded";

/// Time between two measurements.
const MEASURE_INTERVAL: Duration = Duration::from_millis(100);

impl<D> Core<D> {
    /// Sets what the VM carries. Nothing is refused for a figure that is not known.
    pub fn set_capacity(&self, capacity: Capacity) {
        *self.admission.borrow_mut() = AdmissionControl::new(capacity);
    }

    /// Admits `call`, or returns the refusal. A stream that is resumed has begun elsewhere and is admitted, as is
    /// the trial of a request that may crash runners: a refusal would use the trial up.
    pub(super) fn admit(&self, call: &Call, now: Instant) -> Result<(), Refusal> {
        if call.meta.last_event.is_some() || call.trial.get() {
            return Ok(());
        }
        let arrival = Arrival {
            route: &call.route.name,
            urgent: call.rank == 0,
            time_left: call.time_left(now),
            spread: rand::random(),
        };
        let admitted = self.admission.borrow_mut().admit(arrival);
        admitted.map_err(|wait| Refusal::not_run(OVERLOAD_CODE, wait))
    }

    /// Records what `call` has moved over the link.
    pub(super) fn record_cost(&self, call: &Call) {
        let bytes = call.body.len() as u64 + call.written.get();
        let mut admission = self.admission.borrow_mut();
        admission.record_cost(&call.route.name, bytes);
    }

    /// Takes in one measurement.
    fn measure_load(&self, now: Instant, lag: Duration) {
        let (read, written) = bytes_moved();
        let usage = Usage {
            read,
            written,
            cpu: cpu_time(),
            lag,
        };
        let mut admission = self.admission.borrow_mut();
        if let Some(change) = admission.update(now, usage) {
            log_change(&change, lag);
        }
        let overload = admission.overloaded_for(now);
        let ledger = self.ledger.borrow();
        let place = overload.map_or((0, 0), |_| ledger.zone_place(now));
        drop(ledger);
        let share = admission.refused_share();
        let time = self.fleet_time(now);
        let mut rotation = self.rotation.get();
        let out = rotation.is_out(time, place, overload, share);
        self.rotation.set(rotation);
        if self.out_of_rotation.replace(out) != out {
            log::warn!(
                "event=rotation out={out} load={:.2} share={share:.2}",
                admission.load()
            );
        }
        let figures = [
            ("load_percent", admission.load() * 100.0),
            ("refused_percent", share * 100.0),
            ("out_of_rotation", f64::from(u8::from(out))),
        ];
        for (name, value) in figures {
            let gauge = self.metrics.overload.with_label_values(&[name]);
            gauge.set(value as i64);
        }
    }
}

fn log_change(change: &OverloadChange, lag: Duration) {
    log::warn!(
        "event=overload active={} load={:.2} lag_ms={} refused={}",
        change.overloaded,
        change.load,
        lag.as_millis(),
        change.refused
    );
}

/// Measures the use of link and processor periodically. The lag of the event loop is the delay of its timer.
pub async fn measure_load<D: 'static>(core: Rc<Core<D>>) {
    loop {
        let due = Instant::now() + MEASURE_INTERVAL;
        sleep_until(due.into()).await;
        let now = Instant::now();
        core.measure_load(now, now.saturating_duration_since(due));
    }
}
