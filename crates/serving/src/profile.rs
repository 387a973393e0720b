//! How long a service's prompts are, so that the long ones can be kept apart from the short ones.
//!
//! Why: an engine reads a long prompt in many steps, and each of them holds up the tokens of all requests beside
//! it. Other daemons' long prompts are not known in time, so the replicas that take them are fixed: all daemons
//! compute the same set.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// A prompt is long if it has so many times the tokens of the mean prompt.
const LONG_FACTOR: f64 = 3.0;

/// Weight of a new prompt in the mean.
const MEAN_WEIGHT: f64 = 0.02;

/// Prompts are kept apart for this long after the last long one.
const APART_FOR: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct Profile {
    mean_tokens: f64,
    long_seen_at: Option<Instant>,
}

/// How a request's prompt stands among its service's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptLength {
    /// No long prompts come: nothing is kept apart.
    Uniform,
    /// Shorter than those kept apart.
    Short,
    /// Kept apart.
    Long,
}

/// Profiles of all services.
#[derive(Debug, Default)]
pub struct PromptProfiles {
    profiles: Mutex<HashMap<String, Profile>>,
}

impl PromptProfiles {
    /// Takes an online request's prompt into account and classes it.
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
        let apart = self.long_seen_at.is_some_and(|at| at.elapsed() < APART_FOR);
        if apart {
            PromptLength::Short
        } else {
            PromptLength::Uniform
        }
    }
}
