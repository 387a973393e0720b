//! Group of replicas whose requests have outcomes that the test sets.

// Each test program uses only part of this module.
#![allow(dead_code)]

use std::time::Duration;

use harrierward_slots::{OutlierDetector, ProbeWork, RequestOutcome, StatusChange, StatusEvent};
use harrierward_wire::OutcomeKind;
use tokio::time::Instant;

pub const GROUP: u32 = 12;

/// Requests served at each replica before a test; enough for a low baseline failure rate.
pub const WARMUP_ROUNDS: u32 = 32;

/// Longer than the longest ejection and the delay after which any request may probe.
pub const PAST_EJECTION: Duration = Duration::from_secs(40);

/// Group with a clock that advances with each request.
pub struct Group {
    pub detector: OutlierDetector,
    pub now: Instant,
    size: u32,
    lease: u32,
}

impl Group {
    pub fn new(size: u32) -> Self {
        Self {
            detector: OutlierDetector::default(),
            now: Instant::now(),
            size,
            lease: 0,
        }
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    pub fn complete(&mut self, replica: u32, kind: OutcomeKind) -> Option<StatusEvent> {
        self.complete_after(replica, kind, Duration::ZERO)
            .map(|change| change.event)
    }

    /// Completes a request at the replica, which may be ejected.
    pub fn complete_after(
        &mut self,
        replica: u32,
        kind: OutcomeKind,
        first_event: Duration,
    ) -> Option<StatusChange> {
        self.lease += 1;
        self.advance(Duration::from_millis(1));
        let outcome = RequestOutcome {
            replica,
            lease: (u64::from(self.lease % 8), self.lease),
            kind,
            first_event,
        };
        self.detector.observe(outcome, self.size as usize, self.now)
    }

    pub fn serve_all(&mut self, rounds: u32) {
        for _ in 0..rounds {
            for replica in 1..=self.size {
                if !self.is_ejected(replica) {
                    self.complete(replica, OutcomeKind::Served);
                }
            }
        }
    }

    pub fn is_ejected(&self, replica: u32) -> bool {
        self.detector.ejected().contains(&replica)
    }

    /// Sends and completes a probe, if this kind of work may probe the replica now.
    pub fn probe(
        &mut self,
        replica: u32,
        work: ProbeWork,
        kind: OutcomeKind,
    ) -> Option<StatusChange> {
        if !self
            .detector
            .probe_candidates(work, self.now)
            .contains(&replica)
        {
            return None;
        }
        self.lease += 1;
        let lease = (1, self.lease);
        assert!(self.detector.note_grant(replica, lease, self.now));
        let others = self.detector.probe_candidates(work, self.now);
        assert!(!others.contains(&replica), "one request at a time");
        let outcome = RequestOutcome {
            replica,
            lease,
            kind,
            first_event: Duration::ZERO,
        };
        self.detector.observe(outcome, self.size as usize, self.now)
    }
}

/// Returns a group in which replica 1 is ejected.
pub fn group_with_ejected() -> Group {
    let mut group = Group::new(GROUP);
    group.serve_all(WARMUP_ROUNDS);
    while !group.is_ejected(1) {
        group.complete(1, OutcomeKind::Failed);
    }
    group
}
