//! Request/reply calls to peers by datagram: each request is sent at most twice, with a bounded wait.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_serving::Location;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::round_trips::RoundTrips;

/// Time from a request's first sending within which its reply gives an RTT sample, even after the call has timed out.
const LATE_REPLY_WINDOW: Duration = Duration::from_secs(1);

/// Number of calls above which timed-out ones are forgotten after [`LATE_REPLY_WINDOW`]; above twice as many, all
/// timed-out ones are.
const MAX_TIMED_OUT: usize = 256;

/// Timeouts of one call to a peer with negligible RTT; the measured RTT is added.
#[derive(Debug, Clone, Copy)]
pub struct CallTimeouts {
    /// Time after which the request is sent again.
    pub resend_after: Duration,
    /// Time after which the call fails.
    pub timeout: Duration,
    /// Upper bound of the wait, whatever the RTT; `timeout` if that is longer.
    pub max_timeout: Duration,
}

impl CallTimeouts {
    /// Returns the timeouts for a peer with round-trip time `rtt`: a fixed timeout would make each more distant peer
    /// seem unresponsive.
    fn with_rtt(self, rtt: Duration) -> Self {
        let timeout = self.clamp_timeout(self.timeout + rtt);
        Self {
            resend_after: (self.resend_after + rtt).min(timeout),
            timeout,
            max_timeout: self.max_timeout,
        }
    }

    /// Returns the timeouts for a peer in another region without an RTT sample: the longest wait, with the resend
    /// halfway so that a lost request is not mistaken for a longer RTT.
    fn with_unknown_rtt(self) -> Self {
        let timeout = self.clamp_timeout(self.max_timeout);
        Self {
            resend_after: timeout / 2,
            timeout,
            max_timeout: self.max_timeout,
        }
    }

    fn clamp_timeout(self, timeout: Duration) -> Duration {
        timeout.min(self.max_timeout.max(self.timeout))
    }
}

/// Location of the peer of a call.
#[derive(Debug, Clone, Copy)]
pub struct PeerLocation {
    /// Zone and region of the peer.
    pub location: Location,
    /// Whether the peer is in another region than this daemon: without an RTT sample its reply gets the longest wait.
    pub is_remote_region: bool,
}

impl PeerLocation {
    /// Returns the location of a peer relative to `own`.
    pub fn from(own: Location, peer: Location) -> Self {
        Self {
            location: peer,
            is_remote_region: own.region != peer.region,
        }
    }
}

#[derive(Debug)]
struct PendingCall<A> {
    location: Location,
    sent_at: Instant,
    max_timeout: Duration,
    /// `None` once the call has timed out.
    caller: Option<oneshot::Sender<A>>,
}

/// Calls that wait for their replies and recently timed-out ones, by number. `A` is the reply.
#[derive(Debug)]
pub struct DatagramCalls<A> {
    pending: Mutex<HashMap<u32, PendingCall<A>>>,
    round_trips: RoundTrips,
}

impl<A> Default for DatagramCalls<A> {
    fn default() -> Self {
        Self {
            pending: Mutex::default(),
            round_trips: RoundTrips::default(),
        }
    }
}

/// Abandons the call when its caller drops it; a late reply only gives an RTT sample.
struct CallGuard<'a, A> {
    calls: &'a DatagramCalls<A>,
    number: u32,
}

impl<A> Drop for CallGuard<'_, A> {
    fn drop(&mut self) {
        let mut pending = self.calls.lock();
        if let Some(call) = pending.get_mut(&self.number) {
            call.caller = None;
        }
        if pending.len() > MAX_TIMED_OUT {
            let is_retained = |call: &PendingCall<A>| {
                call.caller.is_some() || call.sent_at.elapsed() < LATE_REPLY_WINDOW
            };
            pending.retain(|_, call| is_retained(call));
        }
        if pending.len() > 2 * MAX_TIMED_OUT {
            pending.retain(|_, call| call.caller.is_some());
        }
    }
}

impl<A> DatagramCalls<A> {
    fn lock(&self) -> MutexGuard<'_, HashMap<u32, PendingCall<A>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the round-trip times measured from replies.
    pub fn round_trips(&self) -> &RoundTrips {
        &self.round_trips
    }

    /// Sends a request by `send`, resends it once if no reply arrives in time, and waits for the reply; `None` on
    /// timeout.
    pub async fn call(
        &self,
        number: u32,
        peer: PeerLocation,
        timeouts: CallTimeouts,
        send: impl Fn(),
    ) -> Option<A> {
        let timeouts = match self.round_trips.upper_bound(peer.location) {
            Some(rtt) => timeouts.with_rtt(rtt),
            None if peer.is_remote_region => timeouts.with_unknown_rtt(),
            None => timeouts,
        };
        let (sender, mut receiver) = oneshot::channel();
        let call = PendingCall {
            location: peer.location,
            sent_at: Instant::now(),
            max_timeout: timeouts.max_timeout,
            caller: Some(sender),
        };
        self.lock().insert(number, call);
        let _guard = CallGuard {
            calls: self,
            number,
        };
        send();
        if let Ok(reply) = timeout(timeouts.resend_after, &mut receiver).await {
            return reply.ok();
        }
        send();
        let remaining = timeouts.timeout.saturating_sub(timeouts.resend_after);
        timeout(remaining, &mut receiver).await.ok()?.ok()
    }

    /// Completes a call with its reply. A late reply still updates the RTT, so that a peer beyond the default timeout
    /// does not stay unresponsive forever. Returns true for a late reply that a known RTT would have made timely.
    pub fn complete(&self, number: u32, reply: A) -> bool {
        let Some(call) = self.lock().remove(&number) else {
            return false;
        };
        let elapsed = call.sent_at.elapsed();
        if elapsed < LATE_REPLY_WINDOW {
            self.round_trips.note(call.location, elapsed);
        }
        let is_late = match call.caller {
            // The caller may drop the call at this moment.
            Some(caller) => caller.send(reply).is_err(),
            None => true,
        };
        is_late && elapsed < call.max_timeout
    }
}
