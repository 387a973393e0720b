//! Transfers that are ended when they stall and others need their memory or their connection.

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::budget::{MemoryBudget, NoMemory, Permit};
use crate::ledger::TransferId;

/// The transfer was ended so that others have room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the transfer stalled while others needed its memory or its connection")]
pub struct TransferEnded;

/// A transfer that is registered until it is dropped.
struct Transfer {
    budget: MemoryBudget,
    id: TransferId,
    ended: oneshot::Receiver<()>,
}

impl Transfer {
    fn begin(budget: &MemoryBudget) -> Self {
        let (end, ended) = oneshot::channel();
        let mut state = budget.shared.lock();
        let id = state.ledger.begin_transfer(Instant::now());
        state.ends.insert(id, end);
        drop(state);
        Self {
            budget: budget.clone(),
            id,
            ended,
        }
    }

    /// Waits until the transfer is ended for others; forever if it isn't.
    async fn ended(&mut self) -> TransferEnded {
        match (&mut self.ended).await {
            Ok(()) => TransferEnded,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        let mut state = self.budget.shared.lock();
        state.ledger.end_transfer(self.id);
        state.ends.remove(&self.id);
    }
}

impl MemoryBudget {
    /// Registers a body that is about to be received.
    pub fn begin_upload(&self) -> Upload {
        Upload {
            transfer: Transfer::begin(self),
            permit: self.empty_permit(),
        }
    }

    /// Registers a response of `bytes` bytes, 0 if unknown, whose caller doesn't take it now. Its bytes must have been
    /// taken already, if they are counted.
    pub fn begin_delivery(&self, bytes: usize) -> Delivery {
        let transfer = Transfer::begin(self);
        self.shared.lock().ledger.note_held(transfer.id, bytes);
        Delivery { transfer }
    }
}

/// A body that is being received.
pub struct Upload {
    transfer: Transfer,
    permit: Permit,
}

impl Upload {
    /// Takes bytes until the upload holds `size`.
    ///
    /// # Errors
    /// There is no room.
    pub async fn grow(&mut self, size: usize) -> Result<(), NoMemory> {
        let Transfer { budget, id, .. } = &self.transfer;
        if !self.permit.try_grow(size) {
            let waiting = Waiting::begin(budget, *id);
            budget.grow(&mut self.permit, size).await?;
            drop(waiting);
        }
        let mut state = budget.shared.lock();
        state.ledger.note_held(*id, size);
        Ok(())
    }

    /// Notes how many bytes have arrived.
    pub fn note_received(&self, bytes: usize) {
        let mut state = self.transfer.budget.shared.lock();
        let now = Instant::now();
        state.ledger.note_received(self.transfer.id, bytes, now);
    }

    /// Waits until the upload is ended for others; forever if it isn't.
    pub async fn ended(&mut self) -> TransferEnded {
        self.transfer.ended().await
    }

    /// Completes the upload; its bytes stay taken until the permit is dropped.
    pub fn complete(mut self) -> Permit {
        self.permit.take_all()
    }
}

/// A response whose caller doesn't take it as fast as it could be sent.
pub struct Delivery {
    transfer: Transfer,
}

impl Delivery {
    /// Notes that the caller has taken some of it.
    pub fn note_progress(&self) {
        let mut state = self.transfer.budget.shared.lock();
        state.ledger.note_progress(self.transfer.id, Instant::now());
    }

    /// Waits until the delivery is ended for others; forever if it isn't.
    pub async fn ended(&mut self) -> TransferEnded {
        self.transfer.ended().await
    }
}

/// Marks an upload as waiting until it is dropped.
struct Waiting<'a> {
    budget: &'a MemoryBudget,
    id: TransferId,
}

impl<'a> Waiting<'a> {
    fn begin(budget: &'a MemoryBudget, id: TransferId) -> Self {
        let waiting = Self { budget, id };
        waiting.note(true);
        waiting
    }

    fn note(&self, is_waiting: bool) {
        let mut state = self.budget.shared.lock();
        state
            .ledger
            .note_waiting(self.id, is_waiting, Instant::now());
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.note(false);
    }
}
