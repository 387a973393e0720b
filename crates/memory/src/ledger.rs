//! The state of a budget: bytes taken, and the transfers that hold some of them. Pure; times are passed in.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Share of a budget that only small holders may take, as a divisor.
const RESERVE_DIVISOR: usize = 4;

/// Memory that a transfer costs beside its bytes: its task, its head and its connection's buffers.
const TRANSFER_OVERHEAD_BYTES: usize = 16 << 10;

/// Part of its bytes, as a divisor, by which a body must grow to count as progressing.
const PROGRESS_DIVISOR: usize = 8;

/// Sizes of a budget, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSizes {
    /// All bytes that may be taken.
    pub total: usize,
    /// Largest size of a holder that may use the reserve.
    pub small: usize,
}

impl BudgetSizes {
    /// Returns the bytes that a holder of `size` bytes may leave taken.
    fn limit_for(&self, size: usize) -> usize {
        if size <= self.small {
            self.total
        } else {
            self.total - self.total / RESERVE_DIVISOR
        }
    }

    /// Returns the most that one holder can take.
    pub fn largest(&self) -> usize {
        self.limit_for(usize::MAX).max(self.small.min(self.total))
    }
}

/// Identifies a transfer within its budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId(u64);

/// A body that is being received, or a response whose caller doesn't take it.
#[derive(Debug)]
struct TransferState {
    held: usize,
    received: usize,
    /// Value of `received` when a body last counted as progressing.
    marked: usize,
    progressed_at: Instant,
    /// True while it waits for bytes of the budget, and is not read.
    is_waiting: bool,
}

impl TransferState {
    /// Byte-seconds held without progress: the transfer with the most of them costs the others most.
    fn cost(&self, now: Instant) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let bytes = (self.held + TRANSFER_OVERHEAD_BYTES) as f64;
        bytes * (now - self.progressed_at).as_secs_f64()
    }
}

/// Bytes taken from a budget, and who holds them.
#[derive(Debug)]
pub struct Ledger {
    sizes: BudgetSizes,
    taken: usize,
    transfers: BTreeMap<TransferId, TransferState>,
    next_id: u64,
    /// Moment before which no transfer that isn't waiting has progressed last; `None` until one was looked for.
    progressed_since: Option<Instant>,
}

impl Ledger {
    /// Creates a ledger of which nothing is taken.
    pub fn new(sizes: BudgetSizes) -> Self {
        Self {
            sizes,
            taken: 0,
            transfers: BTreeMap::new(),
            next_id: 0,
            progressed_since: None,
        }
    }

    /// Returns the sizes of the budget.
    pub fn sizes(&self) -> BudgetSizes {
        self.sizes
    }

    /// Returns the bytes that are taken.
    pub fn taken(&self) -> usize {
        self.taken
    }

    /// Takes `bytes` for a holder that then has `size` bytes. Returns false, and takes nothing, if there is no room.
    pub fn try_take(&mut self, bytes: usize, size: usize) -> bool {
        let taken = self.taken.saturating_add(bytes);
        let has_room = taken <= self.sizes.limit_for(size);
        if has_room {
            self.taken = taken;
        }
        has_room
    }

    /// Returns bytes that a holder no longer has.
    pub fn give_back(&mut self, bytes: usize) {
        self.taken = self.taken.saturating_sub(bytes);
    }

    /// Registers a transfer.
    pub fn begin_transfer(&mut self, now: Instant) -> TransferId {
        let id = TransferId(self.next_id);
        self.next_id += 1;
        let state = TransferState {
            held: 0,
            received: 0,
            marked: 0,
            progressed_at: now,
            is_waiting: false,
        };
        self.transfers.insert(id, state);
        id
    }

    /// Forgets a transfer that is complete or ended.
    pub fn end_transfer(&mut self, id: TransferId) {
        self.transfers.remove(&id);
    }

    /// Notes how many bytes a transfer holds.
    pub fn note_held(&mut self, id: TransferId, held: usize) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.held = held;
        }
    }

    /// Notes whether a transfer waits for the budget. The wait does not count as time without progress.
    pub fn note_waiting(&mut self, id: TransferId, is_waiting: bool, now: Instant) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.is_waiting = is_waiting;
            if !is_waiting {
                transfer.progressed_at = now;
            }
        }
    }

    /// Notes how many bytes of a body have arrived. Progress is relative to what it holds, so that a trickle does not
    /// count.
    pub fn note_received(&mut self, id: TransferId, received: usize, now: Instant) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.received = received;
            if received - transfer.marked > transfer.marked / PROGRESS_DIVISOR {
                transfer.marked = received;
                transfer.progressed_at = now;
            }
        }
    }

    /// Notes that a transfer progresses.
    pub fn note_progress(&mut self, id: TransferId, now: Instant) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            transfer.progressed_at = now;
        }
    }

    /// Removes and returns the transfer that has held most for longest without progress, at least for `grace`. One that
    /// waits for the budget is not among them. `now` must not decrease from call to call.
    pub fn take_stalled(&mut self, now: Instant, grace: Duration) -> Option<TransferId> {
        // All who wait ask at each release, so the transfers are looked through only if one can have stalled.
        let is_recent = |moment| now.saturating_duration_since(moment) < grace;
        if self.progressed_since.is_some_and(is_recent) {
            return None;
        }
        let stalled = self.transfers.iter().filter(|(_, transfer)| {
            !transfer.is_waiting && now.saturating_duration_since(transfer.progressed_at) >= grace
        });
        let costs = stalled.map(|(id, transfer)| (*id, transfer.cost(now)));
        let most_costly = costs.max_by(|(_, one), (_, other)| one.total_cmp(other));
        let id = most_costly.map(|(id, _)| id);
        if let Some(id) = id {
            self.transfers.remove(&id);
        }
        self.progressed_since = Some(self.oldest_progress(now));
        id
    }

    /// Returns when the transfer that isn't waiting and has stalled for longest progressed last; `now` if there is none.
    fn oldest_progress(&self, now: Instant) -> Instant {
        let active = self.transfers.values().filter(|one| !one.is_waiting);
        let progressed = active.map(|transfer| transfer.progressed_at);
        progressed.min().unwrap_or(now)
    }
}
