//! How a revision and the proof of its freshness spread.

use std::time::Duration;

/// Members of a zone that ask the table regularly.
pub const POLLERS_A_ZONE: usize = 2;

/// Age of the proof after which a poller is asked.
pub const ASK_POLLER_AFTER: Duration = Duration::from_millis(1500);

/// How often a poller is asked at most.
pub const ASK_POLLER_EVERY: Duration = Duration::from_secs(1);

/// Members told at once of a new revision; they tell as many others in turn.
pub const CONFIG_FAN_OUT: usize = 4;
