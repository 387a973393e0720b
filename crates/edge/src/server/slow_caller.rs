//! Lets a connection be closed for others while its caller doesn't take the response.

use std::time::Duration;

use harrierward_memory::{Delivery, MemoryBudget};

use super::activity::Activity;

/// Interval at which a connection whose caller takes nothing is looked at; shorter than the time without progress after
/// which it may be closed.
pub(super) const SLOW_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Watches whether the caller of one connection takes what is sent.
pub(super) struct SlowCaller {
    memory: Option<MemoryBudget>,
    delivery: Option<Delivery>,
    /// Bytes sent at the last look.
    sent: u64,
}

impl SlowCaller {
    /// Watches a connection whose bytes count in `memory`; without it, nothing is closed for others.
    pub fn new(memory: Option<MemoryBudget>) -> Self {
        Self {
            memory,
            delivery: None,
            sent: 0,
        }
    }

    /// Notes how far the response has been sent; true if the caller doesn't take the rest now.
    pub fn look(&mut self, activity: &Activity) -> bool {
        let sent = activity.sent_bytes();
        let is_progressing = std::mem::replace(&mut self.sent, sent) != sent;
        let Some(memory) = self.memory.as_ref().filter(|_| activity.is_blocked()) else {
            self.delivery = None;
            return false;
        };
        match &self.delivery {
            Some(delivery) if is_progressing => delivery.note_progress(),
            Some(_) => {}
            None => self.delivery = Some(memory.begin_delivery(activity.response_bytes())),
        }
        true
    }

    /// Waits until the connection is to be closed for others; forever while its caller takes what is sent.
    pub async fn close_requested(&mut self) {
        match &mut self.delivery {
            Some(delivery) => {
                delivery.ended().await;
            }
            None => std::future::pending().await,
        }
    }
}
