//! Settings of one daemon.

use std::time::Duration;

use harrierward_serving::{KeyTrust, Mechanism, Policy, SelectionCosts, Topology};
use harrierward_tenants::RateBounds;

/// Addresses that peers are told, `IP:PORT`; `None` for the one that is bound.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AdvertisedAddresses {
    /// In place of [`EdgeSettings::peer_address`].
    pub peer: Option<String>,
    /// In place of [`EdgeSettings::control_address`].
    pub control: Option<String>,
}

/// Settings; addresses are `IP:PORT`.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// Name of the daemon.
    pub member: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// All zones, and the regions in which they lie.
    pub topology: Topology,
    /// Address for callers.
    pub caller_address: String,
    /// Address on which the daemon says whether it is ready.
    pub ready_address: String,
    /// Address for the daemons' control calls; may be empty.
    pub control_address: String,
    /// UDP and TCP address for peers.
    pub peer_address: String,
    /// Addresses that peers are told where they differ from those that are bound, as behind a forwarder.
    pub advertised: AdvertisedAddresses,
    /// Peers' addresses of some other daemons.
    pub seeds: Vec<String>,
    /// Address of the store.
    pub store_address: String,
    /// Reads a second that the store takes from all daemons together.
    pub store_reads_a_second: f64,
    /// Time from the request to stop to the end by force.
    pub grace: Duration,
    /// How long a job stays readable after it was sent.
    pub keep_jobs: Duration,
    /// Time after a job's end within which nothing of it may start any more.
    pub cancel_within: Duration,
    /// Share by which the waiting tokens may exceed their limit.
    pub quota_excess: f64,
    /// How long keys are served by a daemon that does not learn of new configurations.
    pub key_trust: KeyTrust,
    /// What the fleet may exceed tenants' rates by.
    pub rate_bounds: RateBounds,
    /// What cold replicas may be sent beyond the rate that they bear.
    pub warmup_bounds: RateBounds,
    /// Address of the metrics; may be empty.
    pub metrics_address: String,
    /// Mechanisms of the policy in use.
    pub policy: Policy,
    /// What a request must be spared, beyond the time on the way, for it to leave its region; `None` for what the choice
    /// of replicas takes by itself.
    pub region_price: Option<Duration>,
}

impl EdgeSettings {
    /// Address at which peers send datagrams.
    pub fn told_peer_address(&self) -> &str {
        self.advertised.peer.as_ref().unwrap_or(&self.peer_address)
    }

    /// Address at which peers ask control calls; may be empty.
    pub fn told_control_address(&self) -> &str {
        let told = self.advertised.control.as_ref();
        told.unwrap_or(&self.control_address)
    }

    /// The prices by which replicas are chosen.
    pub fn costs(&self) -> SelectionCosts {
        let mut costs = SelectionCosts::under(self.policy);
        if let Some(price) = self.region_price
            && self.policy.has(Mechanism::OwnZoneFirst)
        {
            costs.other_region_ms = price.as_secs_f64() * 1_000.0;
        }
        costs
    }
}
