//! What refusals prove about a replica, and about sizes at a service.

use std::time::Duration;

use harrierward_serving::{
    RecentMaximum, RecentRefusals, RefusalEvidence, RefusalScope, RefusedSizes, WorkClass,
};
use proptest::prelude::*;
use tokio::time::Instant;

const SLOTS: u32 = 8;
const SOUND: u64 = 1_000;
const LARGE: u64 = 154_000;

/// Longer than a refusal tells of the replica's room.
const LATER: Duration = Duration::from_millis(500);

const SERVICE: u32 = 1;
const OTHER_SERVICE: u32 = 2;

/// A refusal by a replica without counted requests that reports no load.
fn refusal(request: u32, tokens: u64) -> RefusalEvidence {
    RefusalEvidence {
        request,
        tokens,
        reported_load: None,
        counted_load: 0,
        slots: SLOTS,
        refused_elsewhere: 0,
    }
}

/// Guards against an idle replica that counts as full for all work, since it refused one request.
#[test]
fn one_refused_request_says_nothing_about_others() {
    let refusals = RecentRefusals::default();
    let now = Instant::now();
    for _ in 0..3 {
        let scope = refusals.note(&refusal(1, LARGE), now);
        assert_eq!(scope, RefusalScope::Unclear);
    }
    assert!(!refusals.lacks_room(LARGE, now));
    assert!(!refusals.lacks_room(SOUND, now));
}

#[test]
fn two_refused_requests_keep_away_those_of_their_size_only() {
    let refusals = RecentRefusals::default();
    let now = Instant::now();
    refusals.note(&refusal(1, LARGE), now);
    let scope = refusals.note(&refusal(2, LARGE + 1), now);
    assert_eq!(scope, RefusalScope::Size);
    assert!(refusals.lacks_room(LARGE + 1, now));
    assert!(
        !refusals.lacks_room(LARGE, now),
        "one of this size at most was refused"
    );
    assert!(!refusals.lacks_room(SOUND, now));
    assert!(!refusals.lacks_room(LARGE + 1, now + LATER), "for good");
}

#[test]
fn an_admission_takes_back_what_smaller_refusals_showed() {
    let refusals = RecentRefusals::default();
    let now = Instant::now();
    refusals.note(&refusal(1, SOUND), now);
    refusals.note(&refusal(2, SOUND), now);
    assert!(refusals.lacks_room(SOUND, now));
    refusals.note_admitted(SOUND);
    assert!(!refusals.lacks_room(SOUND, now));
}

#[test]
fn counts_and_reports_prove_a_full_replica() {
    let counted = RefusalEvidence {
        counted_load: SLOTS,
        ..refusal(1, SOUND)
    };
    let reported = RefusalEvidence {
        reported_load: Some(SLOTS + 1),
        ..refusal(1, SOUND)
    };
    for evidence in [counted, reported] {
        let scope = RecentRefusals::default().note(&evidence, Instant::now());
        assert_eq!(scope, RefusalScope::Replica);
    }
}

/// Guards against counts that are believed more than the replica's own report.
#[test]
fn a_replica_that_reports_free_slots_refuses_only_the_request() {
    let refusals = RecentRefusals::default();
    let now = Instant::now();
    for request in 1..4 {
        let evidence = RefusalEvidence {
            reported_load: Some(1),
            counted_load: SLOTS,
            ..refusal(request, SOUND)
        };
        assert_eq!(refusals.note(&evidence, now), RefusalScope::Request);
    }
    assert!(!refusals.lacks_room(SOUND, now));
}

/// Guards against a request that is refused everywhere and keeps others away, though it states a common size.
#[test]
fn a_request_that_several_replicas_refuse_keeps_no_other_away() {
    let refusals = RecentRefusals::default();
    let now = Instant::now();
    refusals.note(&refusal(1, SOUND), now);
    let evidence = RefusalEvidence {
        refused_elsewhere: 2,
        ..refusal(2, SOUND)
    };
    assert_eq!(refusals.note(&evidence, now), RefusalScope::Unclear);
    assert!(!refusals.lacks_room(SOUND, now));
}

fn usable(count: usize) -> impl FnOnce() -> usize {
    move || count
}

/// Guards against a fleet that is full for a moment and is read as one that never admits the size.
#[test]
fn a_size_is_confirmed_only_by_replicas_that_admit_smaller_requests_before_and_after() {
    let sizes = RefusedSizes::default();
    let now = Instant::now();
    for replica in 1..4 {
        sizes.note_refused(SERVICE, replica, LARGE, false, now);
    }
    for replica in 1..4 {
        sizes.note_admitted(SERVICE, replica, SOUND);
    }
    let bounds = sizes.bounds(SERVICE, usable(10), now);
    assert_eq!((bounds.suspected, bounds.confirmed), (Some(LARGE), None));
    for replica in 1..4 {
        sizes.note_refused(SERVICE, replica, LARGE, true, now);
        sizes.note_admitted(SERVICE, replica, SOUND);
    }
    assert_eq!(
        sizes.bounds(SERVICE, usable(10), now).confirmed,
        Some(LARGE)
    );
    let other = sizes.bounds(OTHER_SERVICE, usable(10), now);
    assert_eq!(other, Default::default());
}

#[test]
fn an_admission_anywhere_at_the_service_takes_the_size_back() {
    let sizes = RefusedSizes::default();
    let now = Instant::now();
    for replica in 1..4 {
        sizes.note_refused(SERVICE, replica, LARGE, true, now);
        sizes.note_admitted(SERVICE, replica, SOUND);
    }
    sizes.note_admitted(SERVICE, 9, LARGE);
    assert_eq!(sizes.bounds(SERVICE, usable(10), now), Default::default());
    assert!(!sizes.has_any());
}

#[test]
fn suspicion_ends_soon_and_knowledge_later() {
    let sizes = RefusedSizes::default();
    let now = Instant::now();
    for replica in 1..4 {
        sizes.note_refused(SERVICE, replica, LARGE, true, now);
        sizes.note_admitted(SERVICE, replica, SOUND);
    }
    let after = |seconds| sizes.bounds(SERVICE, usable(10), now + Duration::from_secs(seconds));
    assert_eq!(after(3).suspected, None);
    assert_eq!(after(3).confirmed, Some(LARGE));
    assert_eq!(after(11), Default::default());
}

#[test]
fn a_service_with_few_replicas_needs_as_many_refusals() {
    let sizes = RefusedSizes::default();
    let now = Instant::now();
    sizes.note_refused(SERVICE, 1, LARGE, false, now);
    assert_eq!(sizes.bounds(SERVICE, usable(1), now).suspected, Some(LARGE));
    assert_eq!(sizes.bounds(SERVICE, usable(2), now).suspected, None);
}

/// Guards against callers' requests that take the trials of items, which would then never be found to fit.
#[test]
fn trials_of_requests_and_of_items_are_counted_apart() {
    let sizes = RefusedSizes::default();
    let now = Instant::now();
    assert!(sizes.take_trial(SERVICE, WorkClass::Online, now));
    assert!(!sizes.take_trial(SERVICE, WorkClass::Online, now));
    assert!(sizes.take_trial(SERVICE, WorkClass::Batch, now));
    assert!(sizes.take_trial(OTHER_SERVICE, WorkClass::Online, now));
    let later = now + Duration::from_secs(1);
    assert!(sizes.take_trial(SERVICE, WorkClass::Online, later));
}

proptest! {
    /// Whatever was refused before: no size is kept away of which a replica refused fewer than two requests of at most
    /// that size, and none below the smallest refused one.
    #[test]
    fn what_is_kept_away_was_refused_twice(
        refused in prop::collection::vec((0u32..4, 1u64..6), 0..12),
        tokens in 1u64..6,
    ) {
        let refusals = RecentRefusals::default();
        let now = Instant::now();
        let mut latest = std::collections::BTreeMap::new();
        for (request, size) in refused {
            refusals.note(&refusal(request, size), now);
            latest.insert(request, size);
        }
        let speaking = latest.values().filter(|size| **size <= tokens).count();
        prop_assert_eq!(refusals.lacks_room(tokens, now), speaking >= 2);
    }

    /// The maximum holds each value for a period at least, and none for more than two.
    #[test]
    fn a_recent_maximum_forgets_in_time(
        mut noted in prop::collection::vec((1u64..100, 0u64..60_000), 1..20),
        after in 0u64..60_000,
    ) {
        noted.sort_by_key(|(_, at)| *at);
        let maximum = RecentMaximum::default();
        for (value, at) in &noted {
            maximum.note(*value, *at);
        }
        let last = noted.iter().map(|(_, at)| *at).max().unwrap_or_default();
        let now = last + after;
        let largest_within = |span: u64| {
            let recent = noted.iter().filter(|(_, at)| now - at < span);
            recent.map(|(value, _)| *value).max().unwrap_or(0)
        };
        let largest = maximum.largest(now);
        prop_assert!(largest >= largest_within(10_000));
        prop_assert!(largest <= largest_within(20_000));
    }
}
