//! Time bounds of the membership protocol.

use std::time::Duration;

/// Bounds and sizes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MembershipSettings {
    /// Least time between two asks of all seeds while nobody else is known; zero: at each tick.
    pub join_every: Duration,
    /// Time between probes.
    pub probe_every: Duration,
    /// Wait for a direct answer before others are asked to probe.
    pub direct_timeout: Duration,
    /// Wait for any answer before the member is suspected.
    pub probe_timeout: Duration,
    /// Time that a suspected member has to refute, in a fleet of ten or fewer. It grows with the decimal logarithm
    /// of the fleet, as the time does in which a suspicion and its refutation spread.
    pub suspicion: Duration,
    /// Members asked to probe indirectly.
    pub indirect_probes: usize,
    /// Records passed on with one datagram that has another purpose.
    pub records_per_datagram: usize,
    /// Records in one datagram of a sync or a welcome: with about 100 bytes a record it stays below 1,400 bytes, a
    /// usual link's datagram.
    pub records_per_sync_datagram: usize,
    /// Each record is passed on this many times, times the logarithm of the fleet's size.
    pub spread_factor: usize,
    /// Members of other regions, and dead ones, are in one round of probes out of so many.
    pub rare_probe_one_in: u64,
    /// Dead members probed in a tick after another one turned out to live.
    pub revivals_a_tick: usize,
    /// How long a dead member is remembered.
    pub forget_dead: Duration,
    /// Least time between two sync requests of a member that lacks many members.
    pub sync_catch_up_every: Duration,
    /// How long no peer's view was the same before a member that lacks few asks for a sync; news should have spread
    /// by then.
    pub sync_after_disagreement: Duration,
    /// Sync requests answered between two ticks; who gets no answer asks another member.
    pub sync_replies_a_tick: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            join_every: Duration::from_secs(1),
            probe_every: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(250),
            probe_timeout: Duration::from_millis(800),
            suspicion: Duration::from_secs(3),
            indirect_probes: 3,
            records_per_datagram: 6,
            records_per_sync_datagram: 12,
            spread_factor: 3,
            rare_probe_one_in: 8,
            revivals_a_tick: 1,
            forget_dead: Duration::from_secs(600),
            sync_catch_up_every: Duration::from_millis(500),
            sync_after_disagreement: Duration::from_secs(8),
            sync_replies_a_tick: 4,
        }
    }
}

impl MembershipSettings {
    /// Bounds for a fleet whose members replace each other within seconds.
    ///
    /// Seeds are asked at each tick. A daemon that knows nobody admits no request of a tenant with a rate, and after a
    /// loss of all daemons the seeds come up at any time (one day on 61 daemons: 412 requests refused for it in the second
    /// after the start where this was 400 ms). Seeds that are down cost nothing, and one that answers ends it.
    pub fn quick() -> Self {
        Self {
            join_every: Duration::ZERO,
            probe_every: Duration::from_millis(300),
            direct_timeout: Duration::from_millis(150),
            probe_timeout: Duration::from_millis(400),
            suspicion: Duration::from_millis(700),
            forget_dead: Duration::from_secs(60),
            sync_catch_up_every: Duration::from_millis(200),
            sync_after_disagreement: Duration::from_secs(2),
            ..Self::default()
        }
    }
}
