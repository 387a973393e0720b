//! Cooldowns of owners that refuted a challenge: they aren't challenged again for a while.

use std::collections::HashMap;
use std::time::Duration;

/// Cooldowns of one daemon by owner. All times are those of its own clock.
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
    /// Starts a cooldown of an owner that was shown to be alive: of `initial`, or of twice the last duration up to
    /// `max`. Has no effect during a cooldown, as several records may show the same.
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

    /// Like [`Self::start`], but a cooldown in progress starts again with its duration: among daemons with a cooldown
    /// for the same owner, none acts shortly after another.
    pub fn restart(&mut self, owner: &str, initial: Duration, max: Duration, now: Duration) {
        match self.owners.get_mut(owner) {
            Some(cooldown) if now < cooldown.until => cooldown.until = now + cooldown.duration,
            _ => self.start(owner, initial, max, now),
        }
    }

    /// Removes the cooldown of an owner that is present in the view.
    pub fn clear(&mut self, owner: &str) {
        self.owners.remove(owner);
    }

    /// Returns the end of an owner's cooldown; zero if there was none.
    pub fn until(&self, owner: &str) -> Duration {
        let cooldown = self.owners.get(owner);
        cooldown.map_or(Duration::ZERO, |cooldown| cooldown.until)
    }

    /// Removes cooldowns that ended at least twice `max` ago; later ones start with the initial duration.
    pub fn expire(&mut self, max: Duration, now: Duration) {
        self.owners
            .retain(|_, cooldown| now < cooldown.until + max * 2);
    }
}
