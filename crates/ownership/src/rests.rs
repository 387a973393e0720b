//! Owners that turned out to live though they were held for gone: they are left alone for a while.

use std::collections::HashMap;
use std::time::Duration;

/// Rests of one daemon, by owner. All times are those of its own clock.
#[derive(Debug, Default)]
pub struct Rests {
    owners: HashMap<String, Rest>,
}

#[derive(Debug, Clone, Copy)]
struct Rest {
    length: Duration,
    until: Duration,
}

impl Rests {
    /// An owner has just shown that it lives: it rests for `first`, or twice as long as the last time, `longest` at most. What
    /// several records show in the same rest is one proof.
    pub fn extend(&mut self, owner: &str, first: Duration, longest: Duration, now: Duration) {
        let rest = self.owners.get(owner);
        if rest.is_some_and(|rest| now < rest.until) {
            return;
        }
        let length = rest.map_or(first, |rest| (rest.length * 2).min(longest));
        let until = now + length;
        self.owners.insert(owner.to_owned(), Rest { length, until });
    }

    /// The same, but a rest that lasts begins anew, no longer than before: where several daemons rest for the same owner, none
    /// acts shortly after another has.
    pub fn renew(&mut self, owner: &str, first: Duration, longest: Duration, now: Duration) {
        match self.owners.get_mut(owner) {
            Some(rest) if now < rest.until => rest.until = now + rest.length,
            _ => self.extend(owner, first, longest, now),
        }
    }

    /// An owner is in the own view: if it is missing later, that is news.
    pub fn end(&mut self, owner: &str) {
        self.owners.remove(owner);
    }

    /// Until when an owner is left alone; zero for one that never rested.
    pub fn until(&self, owner: &str) -> Duration {
        let rest = self.owners.get(owner);
        rest.map_or(Duration::ZERO, |rest| rest.until)
    }

    /// Forgets owners that have been left alone for the last time long ago.
    pub fn forget(&mut self, longest: Duration, now: Duration) {
        self.owners.retain(|_, rest| now < rest.until + longest * 2);
    }
}
