//! Questions to peers by datagram: each is sent at most twice, and its answer is waited for within a bound.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_serving::Location;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::round_trips::RoundTrips;

/// How long a question that was given up is remembered, so that a late answer still tells how long the way is.
const REMEMBERED_FOR: Duration = Duration::from_secs(1);

/// Most questions remembered after they were given up.
const MOST_REMEMBERED: usize = 256;

/// Bounds of one question to a peer beside which the way takes no time; the way as measured is added.
#[derive(Debug, Clone, Copy)]
pub struct CallPatience {
    /// Time after which it is sent again.
    pub again: Duration,
    /// Time after which it is given up.
    pub give_up: Duration,
    /// Longest time to wait, however long the way is.
    pub longest: Duration,
}

impl CallPatience {
    /// The bounds for a peer whose answers come within `way`.
    ///
    /// Why measured: a constant that suits one deployment's distances takes every peer of a wider one for silent.
    fn over(self, way: Duration) -> Self {
        let give_up = self.bounded(self.give_up + way);
        Self {
            again: (self.again + way).min(give_up),
            give_up,
            longest: self.longest,
        }
    }

    /// The bounds for a peer far away that has never answered: as long as possible, and sent again in the middle, so
    /// that a question that was lost is not taken for a longer way.
    fn over_unknown(self) -> Self {
        let give_up = self.bounded(self.longest);
        Self {
            again: give_up / 2,
            give_up,
            longest: self.longest,
        }
    }

    fn bounded(self, give_up: Duration) -> Duration {
        give_up.min(self.longest.max(self.give_up))
    }
}

/// Where a peer is that is asked.
#[derive(Debug, Clone, Copy)]
pub struct PeerPlace {
    /// Its place.
    pub location: Location,
    /// It is in another region than this daemon. Its first answer is waited for as long as possible: how long the way
    /// is shows only then.
    pub is_far: bool,
}

impl PeerPlace {
    /// The place of a peer, as seen from `own`.
    pub fn from(own: Location, peer: Location) -> Self {
        Self {
            location: peer,
            is_far: own.region != peer.region,
        }
    }
}

#[derive(Debug)]
struct Question<A> {
    place: Location,
    asked: Instant,
    longest: Duration,
    /// `None` once it was given up.
    asker: Option<oneshot::Sender<A>>,
}

/// Questions that wait for their answers, by number.
#[derive(Debug)]
pub struct DatagramCalls<A> {
    waiting: Mutex<HashMap<u32, Question<A>>>,
    trips: RoundTrips,
}

impl<A> Default for DatagramCalls<A> {
    fn default() -> Self {
        Self {
            waiting: Mutex::default(),
            trips: RoundTrips::default(),
        }
    }
}

/// Ends the question where its asker goes away; what is answered later is only measured.
struct Waiting<'a, A> {
    calls: &'a DatagramCalls<A>,
    number: u32,
}

impl<A> Drop for Waiting<'_, A> {
    fn drop(&mut self) {
        let mut waiting = self.calls.lock();
        if let Some(question) = waiting.get_mut(&self.number) {
            question.asker = None;
        }
        if waiting.len() > MOST_REMEMBERED {
            let is_kept = |question: &Question<A>| {
                question.asker.is_some() || question.asked.elapsed() < REMEMBERED_FOR
            };
            waiting.retain(|_, question| is_kept(question));
        }
        if waiting.len() > 2 * MOST_REMEMBERED {
            waiting.retain(|_, question| question.asker.is_some());
        }
    }
}

impl<A> DatagramCalls<A> {
    fn lock(&self) -> MutexGuard<'_, HashMap<u32, Question<A>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The ways that answers measured.
    pub fn trips(&self) -> &RoundTrips {
        &self.trips
    }

    /// Sends a question to a peer at a place by `send`, once more after a while, and waits for its answer.
    pub async fn ask(
        &self,
        number: u32,
        peer: PeerPlace,
        patience: CallPatience,
        send: impl Fn(),
    ) -> Option<A> {
        let patience = match self.trips.upper_bound(peer.location) {
            Some(way) => patience.over(way),
            None if peer.is_far => patience.over_unknown(),
            None => patience,
        };
        let (sender, mut receiver) = oneshot::channel();
        let question = Question {
            place: peer.location,
            asked: Instant::now(),
            longest: patience.longest,
            asker: Some(sender),
        };
        self.lock().insert(number, question);
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

    /// Takes an answer. One that nobody waits for any more tells only how long the way is, and that its peer is not
    /// silent: else a peer that is farther than the patience reaches would be taken for silent for ever. Returns true
    /// for a late one that would have been in time had the way been known.
    pub fn take(&self, number: u32, answer: A) -> bool {
        let Some(question) = self.lock().remove(&number) else {
            return false;
        };
        let measured = question.asked.elapsed();
        if measured < REMEMBERED_FOR {
            self.trips.note(question.place, measured);
        }
        let is_late = match question.asker {
            // The asker may have gone away at this moment.
            Some(asker) => asker.send(answer).is_err(),
            None => true,
        };
        is_late && measured < question.longest
    }
}
