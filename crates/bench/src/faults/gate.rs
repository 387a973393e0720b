//! Gate between a simulated daemon and everything outside; pausing or closing it stalls or stops all its I/O.
//!
//! Closing the gate isolates all tasks of the daemon at the same instant, as the loss of a machine does.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use futures::{Stream, StreamExt};
use harrierward_external::{EngineError, EngineEvent, EventStream};
use tokio::sync::Notify;

/// Which I/O a gate lets through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateState {
    /// All I/O.
    Open,
    /// None until it is opened again.
    Paused,
    /// None, permanently.
    Closed,
}

type SharedStream = Arc<Mutex<Option<EventStream>>>;

#[derive(Debug)]
struct GateInner {
    state: Mutex<GateState>,
    /// Wakes waiting tasks in FIFO order, which keeps runs reproducible.
    changed: Notify,
}

/// Gate of one daemon; clones share its state.
#[derive(Clone)]
pub struct Gate {
    inner: Arc<GateInner>,
    streams: Arc<Mutex<Vec<SharedStream>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Gate {
    /// Creates an open gate.
    pub fn new() -> Self {
        let inner = GateInner {
            state: Mutex::new(GateState::Open),
            changed: Notify::new(),
        };
        Self {
            inner: Arc::new(inner),
            streams: Arc::default(),
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> GateState {
        *lock(&self.inner.state)
    }

    async fn wait_for(&self, wanted: GateState) {
        loop {
            let changed = self.inner.changed.notified();
            if self.state() == wanted {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the gate is open; never returns if it is closed.
    pub async fn pass(&self) {
        self.wait_for(GateState::Open).await;
    }

    /// Waits until the gate is closed.
    pub async fn closed(&self) {
        self.wait_for(GateState::Closed).await;
    }

    /// Waits for the gate before and after `call`, so a pause can delay the call or its response.
    pub async fn call_through<T>(&self, call: impl Future<Output = T>) -> T {
        self.pass().await;
        let result = call.await;
        self.pass().await;
        result
    }

    /// Sets the state, unless the gate is closed already; closing breaks all engine streams.
    pub fn set(&self, next: GateState) {
        {
            let mut state = lock(&self.inner.state);
            if *state != GateState::Closed {
                *state = next;
            }
        }
        self.inner.changed.notify_waiters();
        if next == GateState::Closed {
            // Breaks the connections of the lost machine, which engines detect as cancelled streams.
            for stream in lock(&self.streams).drain(..) {
                lock(&stream).take();
            }
        }
    }

    /// Wraps an engine stream so that its events wait for the gate.
    pub fn guard(&self, stream: EventStream) -> EventStream {
        let shared = Arc::new(Mutex::new(Some(stream)));
        let mut streams = lock(&self.streams);
        streams.retain(|stream| lock(stream).is_some());
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
