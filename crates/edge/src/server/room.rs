//! Bounds the connections of a server: makes room for a new one by closing one that costs others most.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use harrierward_memory::MemoryBudget;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::activity::Activity;

/// How long a new connection waits until another one is closed.
const ROOM_WAIT: Duration = Duration::from_millis(100);

/// Time after which another connection is asked to close, if the one before has not.
const CLOSE_WAIT: Duration = Duration::from_millis(10);

/// Bound on the connections of a server.
#[derive(Clone)]
pub struct ConnectionBound {
    /// Most connections at a time.
    pub max: usize,
    /// Budget of the bodies and responses of the connections; the most costly stalled one of them is ended if no
    /// connection is idle.
    pub memory: MemoryBudget,
}

/// Counts open sockets, also those whose connection has ended and whose last bytes are being delivered.
#[derive(Debug, Default)]
pub(super) struct SocketCount {
    open: AtomicUsize,
    closed: Notify,
}

impl SocketCount {
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Counts a socket until the result is dropped.
    pub fn begin(self: &Arc<Self>) -> CountedSocket {
        self.open.fetch_add(1, Ordering::Relaxed);
        CountedSocket {
            count: self.clone(),
        }
    }
}

/// An open socket.
pub(super) struct CountedSocket {
    count: Arc<SocketCount>,
}

impl Drop for CountedSocket {
    fn drop(&mut self) {
        self.count.open.fetch_sub(1, Ordering::Relaxed);
        self.count.closed.notify_one();
    }
}

/// The connections that an accept loop has started, for the choice of one to close.
#[derive(Default)]
pub(super) struct StartedConnections {
    activities: Vec<Weak<Activity>>,
}

impl StartedConnections {
    pub fn add(&mut self, activity: &Arc<Activity>) {
        if self.activities.len() == self.activities.capacity() {
            self.forget_closed();
        }
        self.activities.push(Arc::downgrade(activity));
    }

    fn forget_closed(&mut self) {
        self.activities
            .retain(|activity| activity.strong_count() > 0);
    }

    /// Makes room for one more connection; false if all others are in use.
    pub async fn make_room(&mut self, bound: &ConnectionBound, sockets: &SocketCount) -> bool {
        let until = Instant::now() + ROOM_WAIT;
        while sockets.open() >= bound.max {
            let is_closing = self.close_longest_idle() || bound.memory.end_stalled_transfer();
            let now = Instant::now();
            if now >= until {
                return false;
            }
            let pause = if is_closing { CLOSE_WAIT } else { ROOM_WAIT };
            let _ = timeout_at(until.min(now + pause), sockets.closed.notified()).await;
        }
        true
    }

    /// Asks the connection to close that has been idle for longest; false if none is idle.
    fn close_longest_idle(&mut self) -> bool {
        self.forget_closed();
        let open = self.activities.iter().filter_map(Weak::upgrade);
        let idle = open.filter_map(|activity| Some((activity.rest()?, activity)));
        let longest = idle.max_by_key(|(rest, _)| *rest);
        longest.is_some_and(|(_, activity)| {
            activity.request_close();
            true
        })
    }
}
