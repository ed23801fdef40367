//! Which daemons are asked while most rows are those of machines that are gone.

use std::{
    collections::HashSet,
    net::SocketAddr, //
};

use cuminloom_edge::decide::{
    PeerChoice,
    PeerStanding::{
        self,
        Gone,
        Newest,
        Running,
        Seed, //
    },
};

/// Daemons asked in a round.
const COUNT: usize = 3;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// `running` daemons from port 1 on, and 728 rows of machines that are gone.
fn fleet(running: u16) -> Vec<(SocketAddr, PeerStanding)> {
    let gone = (1000..1728).map(|port| (address(port), Gone));
    let running = (1..=running).map(|port| (address(port), Running));
    gone.chain(running).collect()
}

/// Rounds reach only machines that are gone.
#[test]
fn running_daemons_are_asked_before_728_that_are_gone() {
    for own in 1..=6 {
        let mut choice = PeerChoice::default();
        let asked = choice.choose(address(own), &fleet(6), COUNT);
        assert!(asked.iter().all(|a| a.port() <= 6 && a.port() != own));
        let next = choice.choose(address(own), &fleet(6), COUNT);
        let all: HashSet<SocketAddr> = asked.into_iter().chain(next).collect();
        assert_eq!(all.len(), 5, "own {own}");
    }
}

/// Daemons that have just ended, but whose rows look recent, are asked again and again.
#[test]
fn daemons_that_do_not_reply_are_asked_last() {
    let mut known = fleet(9);
    known.push((address(20), Seed));
    let mut choice = PeerChoice::default();
    let mut reached = 0;
    for _ in 0..4 {
        for asked in choice.choose(address(1), &known, COUNT) {
            // Only daemon 9 and the seed run.
            let replies = matches!(asked.port(), 9 | 20);
            choice.record(asked, replies);
            reached += usize::from(replies);
        }
    }
    assert!(reached >= 3, "{reached}");
}

/// None of those that look as if they ran replies, and one whose row is old is never asked.
#[test]
fn old_rows_are_asked_when_no_other_daemon_replies() {
    let known = fleet(4);
    let mut choice = PeerChoice::default();
    let mut gone = 0;
    for _ in 0..4 {
        for asked in choice.choose(address(1), &known, COUNT) {
            choice.record(asked, false);
            gone += usize::from(asked.port() >= 1000);
        }
    }
    assert!(gone >= 2, "{gone}");
}

/// Guards against rounds that reach only machines that were replaced seconds ago: of 500 rows that were written
/// recently, only some of the newest are of daemons that run.
#[test]
fn newest_rows_are_asked_first() {
    for own in 1..=50 {
        let newest = (100..112).map(|port| (address(port), Newest));
        let running = (1000..1500).map(|port| (address(port), Running));
        let known: Vec<_> = newest.chain(running).collect();
        let mut choice = PeerChoice::default();
        let mut round = 0;
        let mut reached = false;
        while !reached {
            round += 1;
            for asked in choice.choose(address(own), &known, COUNT) {
                // Four of the newest run.
                let replies = (100..104).contains(&asked.port());
                choice.record(asked, replies);
                reached |= replies;
            }
        }
        assert!(round <= 5, "own {own}: {round} rounds");
    }
}
