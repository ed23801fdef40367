//! One entry VM that gets a quarter of the clients, and calm load.

use std::time::{
    Duration,
    Instant, //
};

use cuminloom_edge::decide::{
    AdmissionControl,
    Arrival,
    Capacity,
    Rotation,
    Usage, //
};

/// Time step of the runs.
const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_S: u32 = 10;

/// Bytes a second of each VM's link, and bytes of a request.
const LINK_RATE: f64 = 1_250_000.0;
const REQUEST_BYTES: f64 = 5_000.0;

/// Share of all clients that the load balancer sends to the first VM.
const HOT_SHARE: f64 = 0.25;

const ARRIVAL: Arrival<'static> = Arrival {
    route: "chat",
    urgent: false,
    time_left: Duration::from_secs(10),
    spread: 7,
};

/// One VM with the bytes that wait for its link.
struct Vm {
    admission: AdmissionControl,
    queued: f64,
    written: f64,
    refused: u32,
    /// Requests that are due but not yet whole.
    fraction: f64,
}

impl Vm {
    fn new(link_rate: Option<f64>) -> Vm {
        let capacity = Capacity {
            link_rate,
            cores: None,
        };
        Vm {
            admission: AdmissionControl::new(capacity),
            queued: 0.0,
            written: 0.0,
            refused: 0,
            fraction: 0.0,
        }
    }

    /// Offers a request. Returns whether it is admitted.
    fn offer(&mut self, arrival: Arrival<'_>) -> bool {
        let admitted = self.admission.admit(arrival).is_ok();
        if admitted {
            self.queued += REQUEST_BYTES;
            let bytes = REQUEST_BYTES as u64;
            self.admission.record_cost(&arrival.route.into(), bytes);
        } else {
            self.refused += 1;
        }
        admitted
    }

    /// Number of whole requests of `rate` a second that arrive in this step.
    fn arrivals(&mut self, rate: f64) -> u32 {
        self.fraction += rate * TICK.as_secs_f64();
        let count = self.fraction as u32;
        self.fraction -= f64::from(count);
        count
    }

    /// Sends what the link carries in a step that ends at `now`.
    fn step(&mut self, now: Instant) {
        let sent = self.queued.min(LINK_RATE * TICK.as_secs_f64());
        self.queued -= sent;
        self.written += sent;
        let usage = Usage {
            written: self.written as u64,
            ..Usage::default()
        };
        self.admission.update(now, usage);
    }

    /// Time for which a new byte waits for the link.
    fn delay_s(&self) -> f64 {
        self.queued / LINK_RATE
    }
}

/// The first `hot` VMs of `count` get a quarter of the requests each, 1.25 times what their links carry. Refused ones
/// go to the other VMs in turn. Returns the longest delay at the first after 20 s, and how many requests two VMs
/// refused. The VMs know `link_rate`.
fn run_hot(count: usize, hot: usize, link_rate: Option<f64>) -> (f64, u32) {
    let total = 1.25 * LINK_RATE / REQUEST_BYTES / HOT_SHARE;
    let rest = total * (1.0 - HOT_SHARE * hot as f64) / (count - hot) as f64;
    let start = Instant::now();
    let mut vms: Vec<Vm> = (0..count).map(|_| Vm::new(link_rate)).collect();
    let (mut delay, mut refused_twice, mut next) = (0.0_f64, 0, 0);
    for tick in 1..=60 * TICKS_PER_S {
        for vm in 0..count {
            let rate = if vm < hot { total * HOT_SHARE } else { rest };
            for _ in 0..vms[vm].arrivals(rate) {
                if !vms[vm].offer(ARRIVAL) {
                    next = (next + 1) % (count - hot);
                    refused_twice += u32::from(!vms[hot + next].offer(ARRIVAL));
                }
            }
        }
        vms.iter_mut().for_each(|vm| vm.step(start + TICK * tick));
        if tick > 20 * TICKS_PER_S {
            delay = delay.max(vms[0].delay_s());
        }
    }
    println!("{count} VMs, {hot} hot: delay {delay:.2} s, {refused_twice} refused twice");
    (delay, refused_twice)
}

/// Guards against a VM that takes all that it gets: its link is saturated, and answers and messages wait for seconds.
#[test]
fn a_vm_with_a_quarter_of_the_clients_keeps_room_on_its_link() {
    for (count, hot) in [(7, 1), (7, 2), (72, 1), (72, 2), (340, 1), (340, 2)] {
        let (delay, refused_twice) = run_hot(count, hot, Some(LINK_RATE));
        assert!(delay < 0.3, "{count}: {delay}");
        assert_eq!(refused_twice, 0, "{count}");
    }
}

/// Guards against a run whose bounds hold without admission control: this VM does not know what its link carries.
#[test]
fn an_unknown_link_is_saturated() {
    assert!(run_hot(72, 1, None).0 > 5.0);
}

/// Guards against a processor share that is not enforced that is taken for an overload, or one that is used up and is not.
#[test]
fn a_busy_processor_is_an_overload_only_if_the_event_loop_lags() {
    for (lag_ms, refused) in [(0, false), (50, true)] {
        let cores = Some(0.1);
        let mut admission = AdmissionControl::new(Capacity {
            link_rate: None,
            cores,
        });
        let start = Instant::now();
        let mut refusals = 0;
        for tick in 0..100 {
            let usage = Usage {
                cpu: TICK.mul_f64(0.1) * tick,
                lag: Duration::from_millis(lag_ms),
                ..Usage::default()
            };
            admission.update(start + TICK * tick, usage);
            refusals += u32::from(admission.admit(ARRIVAL).is_err());
        }
        assert_eq!(refusals > 0, refused, "lag {lag_ms} ms");
    }
}

/// Guards against refusals of calm load with bursts of a fifth of a second.
#[test]
fn calm_load_is_not_refused() {
    let start = Instant::now();
    let mut vm = Vm::new(Some(LINK_RATE));
    for tick in 1..=120 * TICKS_PER_S {
        let burst = if tick % 20 < 2 { 2.0 } else { 0.45 };
        for _ in 0..vm.arrivals(burst * LINK_RATE / REQUEST_BYTES) {
            assert!(vm.offer(ARRIVAL));
        }
        vm.step(start + TICK * tick);
    }
}

/// Guards against refusals by a VM whose settings name no capacity.
#[test]
fn nothing_is_refused_without_a_known_capacity() {
    let start = Instant::now();
    let mut admission = AdmissionControl::new(Capacity::default());
    for tick in 0..100 {
        let usage = Usage {
            written: u64::from(tick) * 10_000_000,
            cpu: TICK * tick,
            lag: TICK,
            ..Usage::default()
        };
        assert_eq!(admission.update(start + TICK * tick, usage), None);
        assert!(admission.admit(ARRIVAL).is_ok());
    }
}

/// Guards against urgent requests that are refused as often as others, and retries that come all at once.
#[test]
fn urgent_requests_are_refused_last() {
    let start = Instant::now();
    let mut vm = Vm::new(Some(LINK_RATE));
    let mut refused = [0, 0];
    for tick in 1..=30 * TICKS_PER_S {
        for number in 0..vm.arrivals(1.3 * LINK_RATE / REQUEST_BYTES) {
            let urgent = number % 4 == 0;
            let arrival = Arrival { urgent, ..ARRIVAL };
            refused[usize::from(urgent)] += u32::from(!vm.offer(arrival));
        }
        vm.step(start + TICK * tick);
    }
    assert!(refused[0] > 20 * refused[1], "{refused:?}");
    let waits = (0..500).filter_map(|spread| {
        let arrival = Arrival { spread, ..ARRIVAL };
        vm.admission.admit(arrival).err()
    });
    let waits: std::collections::BTreeSet<Duration> = waits.collect();
    assert!(waits.len() > 20);
    assert!(waits.first() >= Some(&Duration::from_millis(40)));
    assert!(waits.last() < Some(&Duration::from_millis(300)));
}

/// Guards against overloaded VMs of a data centre that leave together, flap, or are away for more than an eighth of
/// the time.
#[test]
fn vms_of_a_data_centre_leave_in_turn() {
    let overload = Some(Duration::from_secs(60));
    for members in [1, 2, 3, 24, 114] {
        let mut rotations = vec![Rotation::default(); members];
        let (mut away, mut changes) = (vec![0; members], vec![0; members]);
        let mut before = vec![false; members];
        let steps: u64 = 2700;
        for step in 0..steps {
            let mut out_now = 0;
            for rank in 0..members {
                let place = (rank, members);
                let out = rotations[rank].is_out(step * 100, place, overload, 0.9);
                out_now += usize::from(out);
                away[rank] += u64::from(out);
                changes[rank] += u64::from(out != before[rank]);
                before[rank] = out;
            }
            assert!(out_now * 2 < members, "{members}: {out_now} at once");
        }
        assert!(away.iter().all(|n| n * 8 <= steps), "{members}: {away:?}");
        assert!(changes.iter().all(|n| *n <= steps / 10 / 27 * 2));
        assert_eq!(away.iter().any(|n| *n > 0), members >= 3);
    }
}

/// Guards against refusals that begin only seconds after a burst of many clients has saturated the link.
#[test]
fn a_sudden_burst_does_not_fill_the_link() {
    let start = Instant::now();
    let mut vm = Vm::new(Some(LINK_RATE));
    let mut delay = 0.0_f64;
    for tick in 1..=30 * TICKS_PER_S {
        let load = if tick > 10 * TICKS_PER_S { 2.5 } else { 0.3 };
        for _ in 0..vm.arrivals(load * LINK_RATE / REQUEST_BYTES) {
            vm.offer(ARRIVAL);
        }
        vm.step(start + TICK * tick);
        delay = delay.max(vm.delay_s());
    }
    assert!(delay < 1.0, "{delay}");
}
