//! Parameters by which members spread revisions and freshness proofs.

use std::time::Duration;

/// Members of a zone that poll the table regularly.
pub const POLLERS_PER_ZONE: usize = 2;

/// Age of the own proof after which a member queries a poller of its zone.
pub const QUERY_POLLER_AFTER: Duration = Duration::from_millis(1500);

/// Minimum interval between queries to pollers.
pub const POLLER_QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Members notified of a new revision by each member that adopts it.
pub const CONFIG_FAN_OUT: usize = 4;
