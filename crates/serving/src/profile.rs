//! Prompt length profiles of services, used to separate long prompts from short ones.
//!
//! The prefill of a long prompt takes many engine steps, each of which delays the tokens of all other requests at the
//! replica. Peers' long prompts are not known in time, so all daemons compute the same fixed set of replicas for
//! them.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Ratio to the mean length from which a prompt counts as long.
const LONG_FACTOR: f64 = 3.0;

/// Weight of a new prompt in the moving average.
const MEAN_WEIGHT: f64 = 0.02;

/// Time after the last long prompt during which lengths are separated.
const SEPARATION_WINDOW: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct Profile {
    mean_tokens: f64,
    long_seen_at: Option<Instant>,
}

/// Length class of a prompt within its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptLength {
    /// No long prompts occurred recently, so lengths aren't separated.
    Uniform,
    /// Goes to replicas without long prompts.
    Short,
    /// Goes to the replicas for long prompts.
    Long,
}

/// Length profiles of all services.
#[derive(Debug, Default)]
pub struct PromptProfiles {
    profiles: Mutex<HashMap<String, Profile>>,
}

impl PromptProfiles {
    /// Adds the prompt of an online request to the service's profile and returns its class.
    pub fn observe(&self, service: &str, tokens: u32) -> PromptLength {
        let mut profiles = self.profiles.lock().unwrap_or_else(PoisonError::into_inner);
        let tokens = f64::from(tokens);
        if !profiles.contains_key(service) {
            let first = Profile {
                mean_tokens: tokens,
                long_seen_at: None,
            };
            profiles.insert(service.to_owned(), first);
        }
        let Some(profile) = profiles.get_mut(service) else {
            return PromptLength::Uniform;
        };
        let is_long = tokens > profile.mean_tokens * LONG_FACTOR;
        profile.mean_tokens += (tokens - profile.mean_tokens) * MEAN_WEIGHT;
        if is_long {
            profile.long_seen_at = Some(Instant::now());
            return PromptLength::Long;
        }
        profile.length_of_short()
    }
}

impl Profile {
    fn length_of_short(&self) -> PromptLength {
        let is_separated = self
            .long_seen_at
            .is_some_and(|at| at.elapsed() < SEPARATION_WINDOW);
        if is_separated {
            PromptLength::Short
        } else {
            PromptLength::Uniform
        }
    }
}
