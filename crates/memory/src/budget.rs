//! A budget that tasks share, and the permits that travel with the bytes.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep};

use crate::ledger::{BudgetSizes, Ledger, TransferId};

/// How long a holder waits for bytes before it is refused.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Interval at which a waiting holder looks for stalled transfers.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Time without progress after which a transfer may be ended for others; longer than a round trip between regions, and
/// the loss of a packet.
const STALL_GRACE: Duration = Duration::from_millis(400);

/// The budget has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the memory for requests is used up")]
pub struct NoMemory;

pub(crate) struct State {
    pub ledger: Ledger,
    pub ends: HashMap<TransferId, oneshot::Sender<()>>,
}

pub(crate) struct Shared {
    state: Mutex<State>,
    freed: Notify,
}

impl Shared {
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn give_back(&self, bytes: usize) {
        if bytes > 0 {
            self.lock().ledger.give_back(bytes);
            self.freed.notify_waiters();
        }
    }
}

/// Bytes that callers can make this process hold; cheap to clone. Its lock is held for a few comparisons, once or twice
/// for a small body.
#[derive(Clone)]
pub struct MemoryBudget {
    pub(crate) shared: Arc<Shared>,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is taken.
    pub fn new(sizes: BudgetSizes) -> Self {
        let state = State {
            ledger: Ledger::new(sizes),
            ends: HashMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                freed: Notify::new(),
            }),
        }
    }

    /// Returns the sizes of the budget.
    pub fn sizes(&self) -> BudgetSizes {
        self.shared.lock().ledger.sizes()
    }

    /// Returns the bytes that are taken.
    pub fn taken(&self) -> usize {
        self.shared.lock().ledger.taken()
    }

    /// Takes `bytes`, at most the largest size of one holder. Ends stalled transfers, and waits briefly, if there is no
    /// room.
    ///
    /// # Errors
    /// There is still no room.
    pub async fn take(&self, bytes: usize) -> Result<Permit, NoMemory> {
        let mut permit = self.empty_permit();
        let bytes = bytes.min(self.sizes().largest());
        self.grow(&mut permit, bytes).await?;
        Ok(permit)
    }

    /// Returns a permit of no bytes, which can grow.
    pub(crate) fn empty_permit(&self) -> Permit {
        Permit {
            shared: self.shared.clone(),
            bytes: 0,
        }
    }

    /// Ends the transfer that has held most for longest without progress; false if none has stalled.
    pub fn end_stalled_transfer(&self) -> bool {
        let mut state = self.shared.lock();
        let Some(id) = state.ledger.take_stalled(Instant::now(), STALL_GRACE) else {
            return false;
        };
        // The receiver is gone if the transfer has just completed.
        let _ = state.ends.remove(&id).map(|end| end.send(()));
        true
    }

    /// Grows a permit to `size` bytes.
    pub(crate) async fn grow(&self, permit: &mut Permit, size: usize) -> Result<(), NoMemory> {
        let until = Instant::now() + MAX_WAIT;
        loop {
            let freed = self.shared.freed.notified();
            if permit.try_grow(size) {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(NoMemory);
            }
            self.end_stalled_transfer();
            tokio::select! {
                () = freed => {}
                () = sleep(WAIT_CHECK_INTERVAL) => {}
            }
        }
    }
}

/// Bytes with the permit that they hold.
struct HeldBytes {
    bytes: Vec<u8>,
    _permit: Permit,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Bytes taken from a budget, returned on drop.
pub struct Permit {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Permit {
    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn try_grow(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(self.bytes);
        let has_room = self.shared.lock().ledger.try_take(more, size);
        if has_room {
            self.bytes += more;
        }
        has_room
    }

    /// Returns bytes that hold this permit until their last clone is dropped.
    pub fn hold(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _permit: self,
        })
    }

    /// Moves all bytes to another permit.
    pub(crate) fn take_all(&mut self) -> Self {
        Self {
            shared: self.shared.clone(),
            bytes: std::mem::take(&mut self.bytes),
        }
    }

    /// Returns all but `bytes` bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.shared.give_back(surplus);
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("Permit");
        debug.field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shared.give_back(self.bytes);
    }
}
