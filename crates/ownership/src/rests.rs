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
    /// An owner has just shown that it lives: it rests for `first`, or twice as long as the last time, `longest` at most, and
    /// `longer` times that. Within a rest it begins anew and does not double: several records show the same.
    pub fn extend(
        &mut self,
        owner: &str,
        (first, longest): (Duration, Duration),
        longer: f64,
        now: Duration,
    ) {
        let length = match self.owners.get(owner) {
            None => first,
            Some(rest) if now < rest.until => rest.length,
            Some(rest) => (rest.length * 2).min(longest),
        };
        let until = now + length.mul_f64(longer);
        self.owners.insert(owner.to_owned(), Rest { length, until });
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
