//! An experiment file.

use eyre::{Result, ensure, eyre};
use serde::{Deserialize, Serialize};

/// A time of higher online rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, seconds.
    pub at: f64,
    /// Length, seconds.
    pub seconds: f64,
    /// Factor on the rate.
    pub factor: f64,
}

/// The online load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlineLoad {
    /// Requests a second outside bursts.
    pub rate: f64,
    /// Different shared prefixes.
    pub prefixes: u32,
    /// Tokens of a shared prefix.
    pub prefix_tokens: u32,
    /// Least and most own tokens of a prompt.
    pub own_tokens: [u32; 2],
    /// Most tokens of an answer.
    pub maximum_tokens: u32,
    /// Bursts.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// The batch load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchLoad {
    /// Seconds between heaps.
    pub every: f64,
    /// Items in a heap.
    pub items: u32,
    /// Tokens that a job's items share.
    pub prefix_tokens: u32,
    /// Own tokens of an item.
    pub own_tokens: u32,
    /// Most tokens of an answer.
    pub maximum_tokens: u32,
}

/// One deployment under one load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name.
    pub name: String,
    /// Zones.
    pub zones: Vec<String>,
    /// One-way delay between zones, milliseconds.
    pub zone_delay_ms: f64,
    /// One-way delay to clients, milliseconds.
    pub client_delay_ms: f64,
    /// Replicas of the service.
    pub replicas: u32,
    /// Gateways, spread over the zones.
    pub gateways: u32,
    /// Length, seconds.
    pub seconds: f64,
    /// Seed of all randomness.
    pub seed: u64,
    /// Values of the step target that make up the frontier, microseconds.
    pub frontier_micros: Vec<f64>,
    /// Online load.
    pub online: OnlineLoad,
    /// Batch load.
    pub batch: BatchLoad,
}

impl Experiment {
    /// Reads and checks an experiment file.
    pub fn parse(text: &str) -> Result<Self> {
        let experiment: Self = toml::from_str(text).map_err(|error| eyre!("{error}"))?;
        ensure!(!experiment.zones.is_empty(), "zones: at least one");
        ensure!(
            (1..=512).contains(&experiment.replicas),
            "replicas: 1 to 512"
        );
        ensure!(
            (1..=512).contains(&experiment.gateways),
            "gateways: 1 to 512"
        );
        ensure!(
            experiment.seconds > 0.0 && experiment.seconds <= 3600.0,
            "seconds: more than 0, at most 3600"
        );
        ensure!(experiment.online.rate > 0.0, "online.rate: more than 0");
        ensure!(experiment.batch.every > 0.0, "batch.every: more than 0");
        Ok(experiment)
    }
}
