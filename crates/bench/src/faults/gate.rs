//! The border between a simulated daemon and everything outside: it can be paused, or closed for good.
//!
//! Why a border and not a killed task: a closed gate makes a daemon invisible from outside at one instant,
//! whatever its tasks were doing, which is what losing a machine means.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use futures::{Stream, StreamExt};
use harrierward_external::{EngineError, EngineEvent, EventStream};
use tokio::sync::Notify;

/// What passes the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateState {
    /// Everything.
    Open,
    /// Nothing for now.
    Paused,
    /// Nothing any more.
    Closed,
}

type SharedStream = Arc<Mutex<Option<EventStream>>>;

#[derive(Debug)]
struct Border {
    state: Mutex<GateState>,
    /// Wakes those who wait, in the order they came, so that a run can be repeated.
    changed: Notify,
}

/// The gate of one daemon; cheap to clone.
#[derive(Clone)]
pub struct Gate {
    border: Arc<Border>,
    streams: Arc<Mutex<Vec<SharedStream>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Gate {
    /// An open gate.
    pub fn new() -> Self {
        let border = Border {
            state: Mutex::new(GateState::Open),
            changed: Notify::new(),
        };
        Self {
            border: Arc::new(border),
            streams: Arc::default(),
        }
    }

    /// The present state.
    pub fn state(&self) -> GateState {
        *lock(&self.border.state)
    }

    async fn wait_for(&self, wanted: GateState) {
        loop {
            let changed = self.border.changed.notified();
            if self.state() == wanted {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the gate is open; for ever if it is closed.
    pub async fn pass(&self) {
        self.wait_for(GateState::Open).await;
    }

    /// Waits until the gate is closed.
    pub async fn closed(&self) {
        self.wait_for(GateState::Closed).await;
    }

    /// Passes, runs `call` and passes again: a pause may fall before the call or before its answer is seen.
    pub async fn around<T>(&self, call: impl Future<Output = T>) -> T {
        self.pass().await;
        let result = call.await;
        self.pass().await;
        result
    }

    /// Pauses or opens the gate, unless it is closed.
    pub fn set(&self, next: GateState) {
        {
            let mut state = lock(&self.border.state);
            if *state != GateState::Closed {
                *state = next;
            }
        }
        self.border.changed.notify_waiters();
        if next == GateState::Closed {
            // Connections of a lost machine break: engines see their readers go.
            for stream in lock(&self.streams).drain(..) {
                lock(&stream).take();
            }
        }
    }

    /// An engine stream that passes this gate.
    pub fn guard(&self, stream: EventStream) -> EventStream {
        let shared = Arc::new(Mutex::new(Some(stream)));
        let mut streams = lock(&self.streams);
        streams.retain(|kept| lock(kept).is_some());
        streams.push(shared.clone());
        let gate = self.clone();
        let gated = GatedStream { shared }.then(move |event| {
            let gate = gate.clone();
            async move {
                gate.pass().await;
                event
            }
        });
        Box::pin(gated)
    }
}

struct GatedStream {
    shared: SharedStream,
}

impl Stream for GatedStream {
    type Item = Result<EngineEvent, EngineError>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match lock(&self.shared).as_mut() {
            Some(stream) => stream.poll_next_unpin(context),
            None => Poll::Pending,
        }
    }
}

impl Drop for GatedStream {
    fn drop(&mut self) {
        lock(&self.shared).take();
    }
}
