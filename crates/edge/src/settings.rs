//! Settings of one daemon, read once at its start.

use std::time::Duration;

use crate::machine::MachineLimits;
use harrierward_serving::{KeyTrust, Mechanism, Policy, SelectionCosts, Topology};
use harrierward_tenants::RateBounds;

/// Addresses that peers receive, `IP:PORT`; `None` for the bound one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AdvertisedAddresses {
    /// Advertised in place of [`EdgeSettings::peer_address`].
    pub peer: Option<String>,
    /// Advertised in place of [`EdgeSettings::control_address`].
    pub control: Option<String>,
}

/// Settings of a daemon; addresses are `IP:PORT`.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// Name of the daemon, the same for all its instances.
    pub member: String,
    /// Zone in which the daemon runs; one of `topology`.
    pub zone: String,
    /// Region in which `zone` lies.
    pub region: String,
    /// All zones and the region of each.
    pub topology: Topology,
    /// Address on which callers are served.
    pub caller_address: String,
    /// Address of the readiness check.
    pub ready_address: String,
    /// Address for control calls of other daemons; empty to serve none.
    pub control_address: String,
    /// UDP address for datagrams of peers.
    pub peer_address: String,
    /// Advertised addresses where they differ from the bound ones, as behind a port forwarder.
    pub advertised: AdvertisedAddresses,
    /// Peer addresses of some other daemons, contacted to join the membership.
    pub seeds: Vec<String>,
    /// Address of the shared store.
    pub store_address: String,
    /// Reads per second that the store sustains from all daemons together.
    pub store_reads_per_second: f64,
    /// Writes per second that the store sustains from all daemons together.
    pub store_writes_per_second: f64,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// How long a job stays readable after its submission.
    pub job_retention: Duration,
    /// Time after a job's cancellation by which no daemon starts its items any more.
    pub cancel_within: Duration,
    /// Share by which queued tokens may exceed their limit.
    pub quota_excess: f64,
    /// How long keys are accepted by a daemon without contact to the source of configurations.
    pub key_trust: KeyTrust,
    /// Bounds on how far the fleet may exceed tenants' rates.
    pub rate_bounds: RateBounds,
    /// Bounds on what cold replicas may receive beyond the rate they sustain.
    pub warmup_bounds: RateBounds,
    /// Address on which metrics are served; empty to serve none.
    pub metrics_address: String,
    /// What the machine gives the process.
    pub machine: MachineLimits,
    /// Policy mechanisms in use.
    pub policy: Policy,
    /// Time a request must save, beyond the RTT, to leave its region; `None` for the default cost. Ignored unless
    /// `policy` has [`Mechanism::OwnZoneFirst`].
    pub region_price: Option<Duration>,
}

impl EdgeSettings {
    /// Returns the address to which peers send datagrams.
    pub fn advertised_peer_address(&self) -> &str {
        self.advertised.peer.as_ref().unwrap_or(&self.peer_address)
    }

    /// Returns the address to which peers send control calls; empty if there is none.
    pub fn advertised_control_address(&self) -> &str {
        let advertised = self.advertised.control.as_ref();
        advertised.unwrap_or(&self.control_address)
    }

    /// Returns the costs by which replicas are selected.
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
