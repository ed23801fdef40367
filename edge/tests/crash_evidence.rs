//! What is blamed for crashed runners, under the loads in which blame can fall on the wrong request.

use std::time::{
    Duration,
    Instant, //
};

use cuminloom_edge::decide::{
    CrashEvidence, FleetTime,
    Suspect::{
        self,
        Part,
        Request, //
    },
    UnresolvedRequest, UnresolvedRequests,
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

/// A part that crashes runners, one that every prompt has, and rare ones.
const BAD: Suspect = Part(0xbad);
const FIRST: Suspect = Part(1);
const RARE: Suspect = Part(0x4a4e);
const OTHER: Suspect = Part(0x07e4);

/// Time for which evidence counts, in milliseconds.
const TTL_MS: FleetTime = 600_000;

/// Runners end one a second, from 1 s on, each while it has requests of `suspects`.
fn end_runners(evidence: &mut CrashEvidence, suspects: &[Suspect], runners: std::ops::Range<u32>) {
    for runner in runners {
        evidence.record_end(suspects, runner, u64::from(runner) * 1000);
    }
}

fn is_refused(evidence: &CrashEvidence, suspects: &[Suspect], now: FleetTime) -> bool {
    evidence.find_blocked(suspects, now).is_some()
}

/// A repeated request crashes a third runner at some daemon once two crashes are known.
#[test]
fn crashing_requests_are_refused_by_all() {
    let mut evidence = CrashEvidence::default();
    let request = [Request(7)];
    let mut seen = [CrashEvidence::default(), CrashEvidence::default()];
    seen[0].record_end(&request, 1, 1000);
    seen[1].record_end(&request, 2, 2000);
    evidence.merge("vm-2", &seen[0].own_reports(2000), 2000);
    assert!(!is_refused(&evidence, &request, 2000));
    // The same end again, also from another daemon, is no further one.
    evidence.merge("vm-2", &seen[0].own_reports(2000), 2100);
    evidence.merge("vm-3", &seen[0].own_reports(2000), 2100);
    assert!(!is_refused(&evidence, &request, 2100));
    evidence.merge("vm-3", &seen[1].own_reports(2000), 2200);
    assert!(is_refused(&evidence, &request, 2200));
    assert!(!is_refused(&evidence, &[Request(8)], 2200));
    evidence.expire(2001 + TTL_MS);
    assert!(!is_refused(&evidence, &request, 2001 + TTL_MS));
}

/// Requests that merely waited at a runner displace the one that crashed it.
#[test]
fn bystanders_do_not_displace_a_crashing_request() {
    let mut evidence = CrashEvidence::default();
    end_runners(&mut evidence, &[Request(7)], 1..4);
    end_runners(&mut evidence, &[BAD], 4..7);
    for bystander in 100..3_000 {
        evidence.record_end(&[Request(bystander), Part(bystander)], 9, 7000);
    }
    assert!(is_refused(&evidence, &[Request(7)], 6000));
    assert!(is_refused(&evidence, &[Request(8), BAD], 6000));
    assert!(!is_refused(&evidence, &[Request(100), Part(100)], 6000));
    let reports = evidence.own_reports(6000);
    let first: Vec<Suspect> = reports.iter().take(2).map(|r| r.suspect).collect();
    assert_eq!(first, [BAD, Request(7)]);
}

/// Requests with one part, no two alike, crash one runner after the other.
#[test]
fn a_part_in_different_requests_is_blocked() {
    let mut evidence = CrashEvidence::default();
    for runner in 1..=3 {
        let at = u64::from(runner) * 1000;
        let request = [Request(at), Part(u64::from(runner)), BAD];
        assert!(!is_refused(&evidence, &request, at));
        evidence.record_end(&request, runner, at);
    }
    assert!(is_refused(&evidence, &[Request(9), OTHER, BAD], 3000));
}

/// The part that every prompt begins with is blamed, and all requests are refused.
#[test]
fn a_part_that_is_answered_is_not_blamed() {
    let mut evidence = CrashEvidence::default();
    for runner in 1..=20 {
        let at = u64::from(runner) * 1000;
        evidence.record_end(&[FIRST, RARE, BAD], runner, at);
        evidence.record_answer(&[FIRST, RARE], at + 100);
    }
    assert!(is_refused(&evidence, &[FIRST, OTHER, BAD], 20_200));
    assert!(!is_refused(&evidence, &[FIRST, RARE], 20_200));
}

/// No runner is left for sound requests, so that nothing clears their parts: they stay refused.
#[test]
fn sound_parts_without_answers_are_not_blamed() {
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(&[FIRST, RARE], 500);
    end_runners(&mut evidence, &[FIRST, RARE, BAD], 1..7);
    assert!(is_refused(&evidence, &[FIRST, RARE, BAD], 7000));
    assert!(is_refused(&evidence, &[OTHER, BAD], 7000));
    assert!(!is_refused(&evidence, &[FIRST, RARE], 7000));
}

/// Ends beside those of the bad part make a sound part look bad by itself.
#[test]
fn ends_that_another_part_explains_do_not_count() {
    let mut evidence = CrashEvidence::default();
    end_runners(&mut evidence, &[FIRST, BAD], 1..6);
    end_runners(&mut evidence, &[FIRST], 6..8);
    assert!(!is_refused(&evidence, &[FIRST, RARE], 8000));
    end_runners(&mut evidence, &[FIRST], 8..9);
    assert!(is_refused(&evidence, &[FIRST, RARE], 9000));
}

/// A part that was always beside the bad one, and never answered, is refused without it too.
#[test]
fn a_part_beside_the_bad_one_is_tried_alone() {
    let mut evidence = CrashEvidence::default();
    end_runners(&mut evidence, &[RARE, BAD], 1..6);
    assert!(is_refused(&evidence, &[RARE, BAD], 6000));
    assert!(!is_refused(&evidence, &[RARE, OTHER], 6000));
    evidence.record_answer(&[RARE, OTHER], 6200);
    // The bad part has nothing else left to explain its ends.
    assert!(is_refused(&evidence, &[OTHER, BAD], 6300));
}

/// Two bad parts at once hide each other.
#[test]
fn two_bad_parts_are_both_blocked() {
    let mut evidence = CrashEvidence::default();
    for runner in 1..=6 {
        let part = if runner % 2 == 0 { BAD } else { OTHER };
        evidence.record_end(&[FIRST, part], runner, u64::from(runner) * 1000);
        evidence.record_answer(&[FIRST], u64::from(runner) * 1000 + 300);
    }
    assert!(is_refused(&evidence, &[FIRST, BAD], 6500));
    assert!(is_refused(&evidence, &[FIRST, OTHER], 6500));
    assert!(!is_refused(&evidence, &[FIRST, RARE], 6500));
}

/// Runners of a rack end at once, each with a request of a new part.
#[test]
fn a_rack_failure_blames_no_part() {
    let mut evidence = CrashEvidence::default();
    for runner in 0..9 {
        evidence.record_end(&[RARE], runner, 1000 + u64::from(runner) * 20);
    }
    assert!(!is_refused(&evidence, &[RARE], 1300));
}

/// A request and its retry crash two runners within a moment.
#[test]
fn a_retry_that_crashes_a_runner_counts() {
    let mut evidence = CrashEvidence::default();
    evidence.record_end(&[Request(7)], 1, 1000);
    evidence.record_end(&[Request(7)], 2, 1040);
    assert!(is_refused(&evidence, &[Request(7)], 1100));
}

/// A rack failure after the crashes displaces them.
#[test]
fn a_rack_failure_clears_no_part() {
    let mut evidence = CrashEvidence::default();
    end_runners(&mut evidence, &[BAD], 1..4);
    for runner in 100..120 {
        evidence.record_end(&[BAD], runner, 5000);
    }
    assert!(is_refused(&evidence, &[BAD], 5100));
}

/// A daemon that has answered a part does not tell those that have seen only ends.
#[test]
fn an_answer_elsewhere_clears_a_part() {
    let (mut one, mut two) = (CrashEvidence::default(), CrashEvidence::default());
    end_runners(&mut one, &[RARE], 1..4);
    assert!(is_refused(&one, &[RARE], 3100));
    two.record_answer(&[RARE], 3050);
    assert!(two.own_reports(3100).is_empty());
    assert!(two.merge("one", &one.own_reports(3100), 3100));
    one.merge("two", &two.own_reports(3200), 3200);
    assert!(!is_refused(&one, &[RARE], 3200));
    assert!(one.own_reports(3300).iter().all(|r| r.ends.is_empty()));
    // Another daemon's row may still have the ends.
    let mut old = CrashEvidence::default();
    end_runners(&mut old, &[RARE], 1..4);
    one.expire(20_000);
    one.merge("three", &old.own_reports(20_000), 20_000);
    assert!(!is_refused(&one, &[RARE], 20_000));
}

/// A row that is no longer written makes all daemons write theirs again and again.
#[test]
fn an_old_row_wakes_the_writer_once() {
    let mut old = CrashEvidence::default();
    end_runners(&mut old, &[RARE], 1..4);
    let row = old.own_reports(4000);
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(&[RARE], 4000);
    assert!(evidence.merge("lost", &row, 5000));
    for at in (6000..60_000).step_by(1000) {
        evidence.record_answer(&[RARE], at);
        assert!(!evidence.merge("lost", &row, at), "{at}");
    }
    // Without such a row, nothing is left to report.
    for at in (60_000..80_000).step_by(1000) {
        evidence.record_answer(&[RARE], at);
    }
    assert!(evidence.own_reports(80_000).is_empty());
}

/// A restart forgets what the process before it has seen.
#[test]
fn a_restarted_daemon_knows_and_reports_what_it_had_seen() {
    let mut before = CrashEvidence::default();
    end_runners(&mut before, &[BAD], 1..6);
    let mut after = CrashEvidence::default();
    after.restore(&before.own_reports(6000), 7000);
    assert!(is_refused(&after, &[BAD], 7000));
    assert_eq!(after.own_reports(7000), before.own_reports(7000));
}

/// A block ends by itself while the requests still come, and they crash runners anew.
#[test]
fn a_block_lasts_while_it_is_asked_for() {
    let mut evidence = CrashEvidence::default();
    let mut peer = CrashEvidence::default();
    end_runners(&mut evidence, &[BAD], 1..4);
    peer.merge("one", &evidence.own_reports(4000), 4000);
    for at in (4000..3 * TTL_MS).step_by(60_000) {
        // Only the other daemon refuses requests.
        assert!(is_refused(&peer, &[BAD], at), "{at}");
        peer.record_refusal(BAD, at);
        evidence.merge("two", &peer.own_reports(at), at);
        evidence.expire(at);
        peer.merge("one", &evidence.own_reports(at), at);
        peer.expire(at);
    }
    assert!(!evidence.own_reports(3 * TTL_MS).is_empty());
    evidence.expire(5 * TTL_MS);
    assert!(evidence.own_reports(5 * TTL_MS).is_empty());
}

/// A part that was blamed by mistake, or that has been repaired, is refused for ever.
#[test]
fn a_blocked_part_is_tried_again() {
    let mut evidence = CrashEvidence::default();
    end_runners(&mut evidence, &[BAD], 1..4);
    assert!(!evidence.start_trial(BAD, 32_000));
    assert!(evidence.start_trial(BAD, 33_000));
    assert!(!evidence.start_trial(BAD, 34_000));
    // Each further end doubles the time.
    evidence.record_end(&[BAD], 4, 33_100);
    assert!(!evidence.start_trial(BAD, 93_000));
    assert!(evidence.start_trial(BAD, 93_100));
    evidence.record_answer(&[BAD], 93_500);
    assert!(!is_refused(&evidence, &[BAD], 93_500));
}

/// Reports grow with the number of suspects, or with a daemon's reports that come again and again.
#[test]
fn reports_stay_small() {
    let mut evidence = CrashEvidence::default();
    for runner in 1..200 {
        let suspects: Vec<Suspect> = (0..50).map(Part).collect();
        evidence.record_end(&suspects, runner, u64::from(runner) * 1000);
    }
    let bytes = serde_json::to_vec(&evidence.own_reports(200_000)).unwrap();
    assert!(bytes.len() < 6000, "{}", bytes.len());
}

/// Ends of up to 6 runners under up to 4 parts as (daemon, part, runner, second of an answer).
type Ends = Vec<(u8, u8, u8, u8)>;

/// What the daemons believe depends on the order in which reports arrive.
#[test]
fn the_order_of_reports_does_not_matter() {
    fn agree(ends: Ends, swap: bool) -> bool {
        let mut daemons: [CrashEvidence; 3] = Default::default();
        for (daemon, part, runner, second) in ends.into_iter().take(40) {
            let daemon = &mut daemons[usize::from(daemon % 3)];
            let part = [Part(u64::from(part % 4))];
            match u32::from(runner % 7) {
                6 => daemon.record_answer(&part, 1000 + u64::from(second % 20) * 500),
                // All daemons see the end of a runner at the same time.
                runner => daemon.record_end(&part, runner, 1100 + u64::from(runner) * 1500),
            }
        }
        let reports: Vec<_> = daemons.iter().map(|d| d.all_reports(12_000)).collect();
        let (mut one, mut two) = (CrashEvidence::default(), CrashEvidence::default());
        for report in &reports {
            one.merge("vm", report, 12_000);
        }
        for report in reports.iter().rev() {
            two.merge("vm", report, 12_000);
            if swap {
                two.merge("vm", report, 12_000);
            }
        }
        (0..4).all(|part| {
            is_refused(&one, &[Part(part)], 12_000) == is_refused(&two, &[Part(part)], 12_000)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 1))
        .tests(500)
        .quickcheck(agree as fn(Ends, bool) -> bool);
}

/// A request crashes its runners 300 ms after the first event, and the start of its answers clears it.
#[test]
fn a_request_that_crashes_runners_late_is_blocked() {
    let mut evidence = CrashEvidence::default();
    for runner in 1..=3 {
        let at = u64::from(runner) * 1500;
        assert!(!is_refused(&evidence, &[Request(7), FIRST], at));
        evidence.record_progress(&[Request(7), FIRST], at + 250);
        evidence.record_late_end(&[Request(7), FIRST], runner, at + 300);
        evidence.record_answer(&[Request(8), FIRST], at + 600);
    }
    assert!(is_refused(&evidence, &[Request(7), FIRST], 6000));
    assert!(!is_refused(&evidence, &[Request(9), FIRST], 6000));
    let mut other = CrashEvidence::default();
    other.merge("vm-2", &evidence.own_reports(6000), 6000);
    assert!(is_refused(&other, &[Request(7), FIRST], 6100));
}

/// As above, for a part in different requests.
#[test]
fn a_part_that_crashes_runners_late_is_blocked() {
    let mut evidence = CrashEvidence::default();
    for runner in 1..=3 {
        let at = u64::from(runner) * 1500;
        let request = [Request(at), FIRST, BAD];
        evidence.record_progress(&request, at + 250);
        evidence.record_late_end(&request, runner, at + 300);
        evidence.record_answer(&[FIRST], at + 600);
    }
    assert!(is_refused(&evidence, &[Request(9), FIRST, BAD], 6000));
    assert!(!is_refused(&evidence, &[Request(9), FIRST], 6000));
}

/// A long stream that lost three runners to a crashing request beside it is refused its fourth.
#[test]
fn a_long_stream_beside_a_crashing_request_goes_on() {
    let mut evidence = CrashEvidence::default();
    for runner in 1..=4 {
        let at = u64::from(runner) * 1500;
        evidence.record_late_end(&[Request(7)], runner, at);
        if runner > 1 {
            evidence.record_late_end(&[Request(8)], runner, at);
        }
    }
    assert!(is_refused(&evidence, &[Request(7)], 7000));
    assert!(!is_refused(&evidence, &[Request(8)], 7000));
}

/// A request that was given up at three runners, each of which ended later, crashes a fourth.
#[test]
fn a_request_that_was_given_up_before_each_crash_is_blocked() {
    let request = [Request(7), FIRST];
    let mut evidence = CrashEvidence::default();
    let mut other = CrashEvidence::default();
    for runner in 1..=3 {
        let at = u64::from(runner) * 1500;
        assert!(!is_refused(&evidence, &request, at));
        evidence.record_unresolved_end(&request, runner, at);
        evidence.record_answer(&[FIRST], at + 600);
        other.merge("vm-2", &evidence.own_reports(at + 600), at + 600);
    }
    assert!(is_refused(&evidence, &request, 6000));
    assert!(is_refused(&other, &request, 6000));
    assert!(!is_refused(&other, &[Request(9), FIRST], 6000));
}

/// Requests with a sound part are given up at many runners while many end, and the part is blocked.
#[test]
fn a_part_of_given_up_requests_is_not_blamed_where_many_runners_end() {
    let mut evidence = CrashEvidence::default();
    for runner in 1..=60 {
        let at = u64::from(runner) * 500;
        evidence.record_end(&[Request(at)], runner, at);
        if runner % 10 == 0 {
            evidence.record_unresolved_end(&[RARE], runner, at);
        }
    }
    assert!(!is_refused(&evidence, &[Request(1), RARE], 31_000));
    let mut evidence = CrashEvidence::default();
    for runner in 1..=5 {
        let at = u64::from(runner) * 1500;
        evidence.record_unresolved_end(&[Request(at), BAD], runner, at);
    }
    assert!(is_refused(&evidence, &[Request(1), BAD], 8000));
}

/// A part that was answered completely is blamed for ends of runners after requests with it were given up.
#[test]
fn an_answered_part_is_not_blamed_for_given_up_requests() {
    let mut evidence = CrashEvidence::default();
    evidence.record_answer(&[RARE], 500);
    for runner in 1..=8 {
        let at = u64::from(runner) * 1500;
        evidence.record_unresolved_end(&[Request(at), RARE], runner, at);
    }
    assert!(!is_refused(&evidence, &[Request(1), RARE], 13_000));
}

/// Requests that were given up long ago are blamed for the end of a runner, or so many are remembered that memory runs
/// out.
#[test]
fn given_up_requests_are_remembered_for_a_bounded_time_and_number() {
    let now = Instant::now();
    let request = |number: u64, deadline: Duration| {
        UnresolvedRequest::new(&"r".into(), &[Request(number)], now, now + deadline)
    };
    let mut unresolved = UnresolvedRequests::default();
    unresolved.add(1, request(1, Duration::from_secs(1)));
    unresolved.add(1, request(2, Duration::from_secs(15)));
    let late = now + Duration::from_secs(11);
    assert_eq!(unresolved.watched(late), [1]);
    let suspects: Vec<_> = unresolved
        .take(1, late)
        .into_iter()
        .map(|r| r.suspects)
        .collect();
    assert_eq!(suspects, [[Request(2)]]);
    // The runner has ended, so there is nothing to wait for.
    assert!(
        unresolved
            .add(1, request(3, Duration::from_secs(1)))
            .is_some()
    );
    for number in 0..10_000 {
        let runner = 2 + u32::try_from(number / 50).unwrap();
        unresolved.add(runner, request(number, Duration::from_secs(1)));
    }
    let taken: Vec<usize> = (2..202).map(|r| unresolved.take(r, now).len()).collect();
    assert!(taken.iter().all(|n| *n <= 32), "{taken:?}");
    assert!(taken.iter().sum::<usize>() <= 2048);
    assert!(unresolved.is_empty());
}
