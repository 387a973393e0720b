//! Owners that turned out to live though they were held for gone: they are left alone for a while.

use std::collections::HashMap;
use std::time::Duration;

/// Cooldowns of one daemon, by owner. All times are those of its own clock.
#[derive(Debug, Default)]
pub struct Cooldowns {
    owners: HashMap<String, Cooldown>,
}

#[derive(Debug, Clone, Copy)]
struct Cooldown {
    duration: Duration,
    until: Duration,
}

impl Cooldowns {
    /// An owner has just shown that it lives: it cooldowns for `initial`, or twice as long as the last time, `max` at most. What
    /// several records show in the same cooldown is one proof.
    pub fn start(&mut self, owner: &str, initial: Duration, max: Duration, now: Duration) {
        let cooldown = self.owners.get(owner);
        if cooldown.is_some_and(|cooldown| now < cooldown.until) {
            return;
        }
        let duration = cooldown.map_or(initial, |cooldown| (cooldown.duration * 2).min(max));
        let until = now + duration;
        self.owners
            .insert(owner.to_owned(), Cooldown { duration, until });
    }

    /// The same, but a cooldown that lasts begins anew, no longer than before: where several daemons cooldown for the same owner, none
    /// acts shortly after another has.
    pub fn restart(&mut self, owner: &str, initial: Duration, max: Duration, now: Duration) {
        match self.owners.get_mut(owner) {
            Some(cooldown) if now < cooldown.until => cooldown.until = now + cooldown.duration,
            _ => self.start(owner, initial, max, now),
        }
    }

    /// An owner is in the own view: if it is missing later, that is news.
    pub fn clear(&mut self, owner: &str) {
        self.owners.remove(owner);
    }

    /// Until when an owner is left alone; zero for one that never cooldown_until.
    pub fn until(&self, owner: &str) -> Duration {
        let cooldown = self.owners.get(owner);
        cooldown.map_or(Duration::ZERO, |cooldown| cooldown.until)
    }

    /// Forgets owners that have been left alone for the last time long ago.
    pub fn expire(&mut self, max: Duration, now: Duration) {
        self.owners
            .retain(|_, cooldown| now < cooldown.until + max * 2);
    }
}
