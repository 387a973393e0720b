//! A discovery source whose rows are plain text.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use std::time::Duration;

use harrierward_edge::DiscoverySource;
use harrierward_external::Row;
use harrierward_serving::{ReplicaRecord, Service, ServingConfiguration, Warmup};

/// Warmup parameters of the configured service.
pub const WARMUP: Warmup = Warmup {
    duration: Duration::from_secs(6),
    per_second: 2.0,
};

/// Rows hold the configuration's version, or the address of the replica named by the key, optionally followed by a
/// space and the milliseconds for which it stays cold.
pub struct PlainSource;

impl DiscoverySource for PlainSource {
    fn configuration_space(&self) -> &'static str {
        "configuration"
    }

    fn replica_space(&self) -> &'static str {
        "replicas"
    }

    fn parse_configuration(&self, row: &Row) -> Result<Option<ServingConfiguration>, String> {
        if self.evacuated_zone_of(&row.key).is_some() {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(&row.value);
        let version = text.parse().map_err(|_| format!("version: {text:?}"))?;
        Ok(Some(ServingConfiguration {
            version,
            services: vec![Service {
                name: "service".to_owned(),
                slots: 4,
                memory_tokens: 0,
                connections: 0,
                warmup: Some(WARMUP),
            }],
            ..ServingConfiguration::default()
        }))
    }

    fn evacuated_zone_of(&self, key: &str) -> Option<String> {
        key.strip_prefix("evacuate/").map(str::to_owned)
    }

    fn is_configured_zone(&self, zone: &str) -> bool {
        zone == "zone"
    }

    fn parse_replica(&self, row: &Row) -> Result<ReplicaRecord, String> {
        let text = String::from_utf8(row.value.to_vec()).map_err(|error| error.to_string())?;
        let (address, warmup_ms) = text.split_once(' ').unwrap_or((&text, "0"));
        let warmup_ms = warmup_ms.parse().map_err(|_| "warmup".to_owned())?;
        Ok(ReplicaRecord {
            born_ms: None,
            region: String::new(),
            warmup: Duration::from_millis(warmup_ms),
            id: row.key.clone(),
            service: "service".to_owned(),
            address: address.to_owned(),
            zone: "zone".to_owned(),
            slots: 4,
            draining: false,
        })
    }
}
