//! Questions to peers by datagram: each is sent at most twice, and its answer is waited for within a bound.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

/// Bounds of one question.
#[derive(Debug, Clone, Copy)]
pub struct CallPatience {
    /// Time after which it is sent again.
    pub again: Duration,
    /// Time after which it is given up.
    pub give_up: Duration,
}

/// Questions that wait for their answers, by number.
#[derive(Debug)]
pub struct DatagramCalls<A> {
    waiting: Mutex<HashMap<u32, oneshot::Sender<A>>>,
}

impl<A> Default for DatagramCalls<A> {
    fn default() -> Self {
        Self {
            waiting: Mutex::default(),
        }
    }
}

/// Forgets the question where its asker goes away.
struct Waiting<'a, A> {
    calls: &'a DatagramCalls<A>,
    number: u32,
}

impl<A> Drop for Waiting<'_, A> {
    fn drop(&mut self) {
        self.calls.lock().remove(&self.number);
    }
}

impl<A> DatagramCalls<A> {
    fn lock(&self) -> MutexGuard<'_, HashMap<u32, oneshot::Sender<A>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a question by `send`, once more after a while, and waits for its answer.
    pub async fn ask(&self, number: u32, patience: CallPatience, send: impl Fn()) -> Option<A> {
        let (sender, mut receiver) = oneshot::channel();
        self.lock().insert(number, sender);
        let _waiting = Waiting {
            calls: self,
            number,
        };
        send();
        if let Ok(answer) = timeout(patience.again, &mut receiver).await {
            return answer.ok();
        }
        send();
        let left = patience.give_up.saturating_sub(patience.again);
        timeout(left, &mut receiver).await.ok()?.ok()
    }

    /// Takes an answer; one that nobody waits for any more is dropped.
    pub fn take(&self, number: u32, answer: A) {
        if let Some(waiting) = self.lock().remove(&number) {
            let _ = waiting.send(answer);
        }
    }
}
