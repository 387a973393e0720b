//! The ledger under random holders: its bound always holds, everything returns, and small holders find room.

use std::time::Duration;

use harrierward_memory::{BudgetSizes, Ledger, TransferId};
use proptest::prelude::*;
use tokio::time::Instant;

const SIZES: BudgetSizes = BudgetSizes {
    total: 1_000_000,
    small: 10_000,
};

const GRACE: Duration = Duration::from_millis(400);

#[derive(Debug, Clone)]
enum Step {
    Begin,
    Grow { upload: usize, bytes: usize },
    End { upload: usize },
    EndStalled { after_ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        Just(Step::Begin),
        (any::<usize>(), 1..400_000_usize).prop_map(|(upload, bytes)| Step::Grow { upload, bytes }),
        any::<usize>().prop_map(|upload| Step::End { upload }),
        (0..1_000_u64).prop_map(|after_ms| Step::EndStalled { after_ms }),
    ];
    prop::collection::vec(step, 1..200)
}

/// Uploads in progress, with the bytes that each holds.
#[derive(Default)]
struct Model {
    uploads: Vec<(TransferId, usize)>,
}

impl Model {
    fn apply(&mut self, ledger: &mut Ledger, step: &Step, now: &mut Instant) {
        match *step {
            Step::Begin => self.uploads.push((ledger.begin_transfer(*now), 0)),
            Step::Grow { upload, bytes } if !self.uploads.is_empty() => {
                let number = upload % self.uploads.len();
                let (id, held) = &mut self.uploads[number];
                if ledger.try_take(bytes, *held + bytes) {
                    *held += bytes;
                    ledger.note_held(*id, *held);
                    ledger.note_received(*id, *held, *now);
                }
            }
            Step::End { upload } if !self.uploads.is_empty() => {
                let (id, held) = self.uploads.remove(upload % self.uploads.len());
                ledger.end_transfer(id);
                ledger.give_back(held);
            }
            Step::EndStalled { after_ms } => {
                *now += Duration::from_millis(after_ms);
                if let Some(ended) = ledger.take_stalled(*now, GRACE) {
                    let position = self.uploads.iter().position(|(id, _)| *id == ended);
                    let (_, held) = self.uploads.remove(position.expect("it was in progress"));
                    ledger.give_back(held);
                }
            }
            Step::Grow { .. } | Step::End { .. } => {}
        }
    }

    fn held(&self) -> usize {
        self.uploads.iter().map(|(_, held)| held).sum()
    }
}

/// What happens to a transfer, or a search for a stalled one.
#[derive(Debug, Clone)]
enum Event {
    Begin,
    Progress { transfer: usize },
    Wait { transfer: usize },
    Resume { transfer: usize },
    End { transfer: usize },
    Search { after_ms: u64 },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let any_transfer = any::<usize>;
    let event = prop_oneof![
        Just(Event::Begin),
        any_transfer().prop_map(|transfer| Event::Progress { transfer }),
        any_transfer().prop_map(|transfer| Event::Wait { transfer }),
        any_transfer().prop_map(|transfer| Event::Resume { transfer }),
        any_transfer().prop_map(|transfer| Event::End { transfer }),
        (0..600_u64).prop_map(|after_ms| Event::Search { after_ms }),
    ];
    prop::collection::vec(event, 1..200)
}

/// A transfer as its owner knows it.
struct KnownTransfer {
    id: TransferId,
    progressed_at: Instant,
    is_waiting: bool,
}

impl KnownTransfer {
    fn has_stalled(&self, now: Instant) -> bool {
        !self.is_waiting && now - self.progressed_at >= GRACE
    }
}

/// Applies an event to one of the transfers; returns false if a search finds none although one has stalled, or one that
/// hasn't.
fn apply(
    event: &Event,
    ledger: &mut Ledger,
    transfers: &mut Vec<KnownTransfer>,
    now: &mut Instant,
) -> bool {
    let count = transfers.len();
    match *event {
        Event::Begin => transfers.push(KnownTransfer {
            id: ledger.begin_transfer(*now),
            progressed_at: *now,
            is_waiting: false,
        }),
        Event::Progress { transfer } if count > 0 => {
            let known = &mut transfers[transfer % count];
            known.progressed_at = *now;
            ledger.note_progress(known.id, *now);
        }
        Event::Wait { transfer } if count > 0 => {
            let known = &mut transfers[transfer % count];
            known.is_waiting = true;
            ledger.note_waiting(known.id, true, *now);
        }
        Event::Resume { transfer } if count > 0 => {
            let known = &mut transfers[transfer % count];
            known.is_waiting = false;
            known.progressed_at = *now;
            ledger.note_waiting(known.id, false, *now);
        }
        Event::End { transfer } if count > 0 => {
            let known = transfers.remove(transfer % count);
            ledger.end_transfer(known.id);
        }
        Event::Search { after_ms } => {
            *now += Duration::from_millis(after_ms);
            let found = ledger.take_stalled(*now, GRACE);
            let Some(id) = found else {
                return !transfers.iter().any(|known| known.has_stalled(*now));
            };
            let position = transfers.iter().position(|known| known.id == id);
            let known = transfers.remove(position.expect("it was in progress"));
            return known.has_stalled(*now);
        }
        Event::Progress { .. } | Event::Wait { .. } | Event::Resume { .. } | Event::End { .. } => {}
    }
    true
}

proptest! {
    /// Guards against a stalled transfer that is overlooked, and against one that is ended without cause.
    #[test]
    fn a_search_finds_a_transfer_exactly_if_one_has_stalled(events in events()) {
        let mut ledger = Ledger::new(SIZES);
        let mut transfers = Vec::new();
        let mut now = Instant::now();
        for event in &events {
            prop_assert!(apply(event, &mut ledger, &mut transfers, &mut now), "{event:?}");
        }
    }

    /// Guards against taking more than the bound, and against bytes that never return.
    #[test]
    fn the_sum_stays_within_the_bound_and_returns(steps in steps()) {
        let mut ledger = Ledger::new(SIZES);
        let mut model = Model::default();
        let mut now = Instant::now();
        for step in &steps {
            model.apply(&mut ledger, step, &mut now);
            prop_assert!(ledger.taken() <= SIZES.total);
            prop_assert_eq!(ledger.taken(), model.held());
        }
        for (id, held) in std::mem::take(&mut model.uploads) {
            ledger.end_transfer(id);
            ledger.give_back(held);
        }
        prop_assert_eq!(ledger.taken(), 0);
    }

    /// Guards against large holders that leave nothing for small ones.
    #[test]
    fn large_holders_leave_room_for_small_ones(sizes in prop::collection::vec(10_001..600_000_usize, 1..50)) {
        let mut ledger = Ledger::new(SIZES);
        for size in sizes {
            ledger.try_take(size, size);
        }
        prop_assert!(ledger.try_take(SIZES.small, SIZES.small));
    }
}

/// Guards against ending an upload that progresses while a stalled one holds more for longer.
#[test]
fn the_stalled_upload_is_ended_first() {
    let mut ledger = Ledger::new(SIZES);
    let start = Instant::now();
    let stalled = ledger.begin_transfer(start);
    let progressing = ledger.begin_transfer(start);
    let trickling = ledger.begin_transfer(start);
    ledger.note_held(stalled, 300_000);
    ledger.note_held(progressing, 300_000);
    ledger.note_held(trickling, 100_000);
    ledger.note_received(trickling, 100_000, start);
    let later = start + 2 * GRACE;
    ledger.note_received(progressing, 300_000, later);
    ledger.note_received(trickling, 100_001, later);
    assert_eq!(ledger.take_stalled(later, GRACE), Some(stalled));
    assert_eq!(ledger.take_stalled(later, GRACE), Some(trickling));
    assert_eq!(ledger.take_stalled(later, GRACE), None);
}

/// Guards against responses that nobody takes and that keep their connections for good.
#[test]
fn a_response_that_nobody_takes_is_ended() {
    let mut ledger = Ledger::new(SIZES);
    let start = Instant::now();
    let unread = ledger.begin_transfer(start);
    let taken = ledger.begin_transfer(start);
    ledger.note_held(taken, 300_000);
    let later = start + 2 * GRACE;
    ledger.note_progress(taken, later);
    assert_eq!(ledger.take_stalled(later, GRACE), Some(unread));
    assert_eq!(ledger.take_stalled(later, GRACE), None);
}
