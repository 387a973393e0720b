//! Settings file of a daemon in TOML: unknown keys are errors, and all problems are reported at once.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use harrierward_node::NodeSettings;
use log::LevelFilter;
use toml::{Table, Value};

use crate::logging::LogFormat;

/// A problem with one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingProblem {
    /// Key with its tables, such as `batch.shards`; `file` if the text is not valid TOML.
    pub key: String,
    /// Value as given; empty if it is missing.
    pub value: String,
    /// The problem, with the allowed range or choices.
    pub detail: String,
}

impl std::fmt::Display for SettingProblem {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.value.is_empty() {
            write!(formatter, "{}: {}", self.key, self.detail)
        } else {
            write!(formatter, "{} = {}: {}", self.key, self.value, self.detail)
        }
    }
}

/// Addresses of the platform's services, `ip:port`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// Table: rows with conditional transactions.
    pub table: String,
    /// Object store.
    pub objects: String,
    /// Service that lists the machines with engines.
    pub machines: String,
    /// Store of model weights.
    pub weights: String,
}

/// Validated settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Zone of this machine.
    pub zone: String,
    /// Region of this machine.
    pub region: String,
    /// Zones of the region; only this zone by default.
    pub region_zones: Vec<String>,
    /// Address of the HTTP API for callers and operators.
    pub api_listen: SocketAddr,
    /// Address of the HTTP interface for peers.
    pub peer_listen: SocketAddr,
    /// Address for datagrams of peers; the same as `peer_listen` by default.
    pub udp_listen: SocketAddr,
    /// UDP addresses of daemons to contact for joining the fleet.
    pub seeds: Vec<String>,
    /// Services of the platform.
    pub platform: PlatformAddresses,
    /// File of objects to write if the fleet has no configuration.
    pub bootstrap: Option<String>,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Minimum level of logged lines.
    pub log_level: LevelFilter,
    /// Settings of the daemon's components.
    pub node: NodeSettings,
}

/// Reads keys from a table and collects all problems.
struct Reader {
    table: Table,
    problems: Vec<SettingProblem>,
}

impl Reader {
    fn report(&mut self, key: &str, value: &str, detail: impl Into<String>) {
        self.problems.push(SettingProblem {
            key: key.to_owned(),
            value: value.to_owned(),
            detail: detail.into(),
        });
    }

    /// Removes and returns a value; the remaining keys are reported as unknown.
    fn take(&mut self, key: &str) -> Option<Value> {
        let mut table = &mut self.table;
        let mut parts = key.split('.').peekable();
        while let Some(part) = parts.next() {
            if parts.peek().is_none() {
                return table.remove(part);
            }
            table = table.get_mut(part)?.as_table_mut()?;
        }
        None
    }

    fn text(&mut self, key: &str, default: Option<&str>) -> String {
        match (self.take(key), default) {
            (Some(Value::String(text)), _) if !text.is_empty() => text,
            (Some(other), _) => {
                self.report(key, &other.to_string(), "must be a non-empty string");
                String::new()
            }
            (None, Some(default)) => default.to_owned(),
            (None, None) => {
                self.report(key, "", "is missing");
                String::new()
            }
        }
    }

    fn texts(&mut self, key: &str) -> Vec<String> {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let shown = value.to_string();
        let texts = value.as_array().and_then(|values| {
            let texts = values.iter().map(|value| value.as_str().map(str::to_owned));
            texts.collect::<Option<Vec<_>>>()
        });
        texts.unwrap_or_else(|| {
            self.report(key, &shown, "must be an array of strings");
            Vec::new()
        })
    }

    fn address(&mut self, key: &str, default: Option<&str>) -> SocketAddr {
        let text = self.text(key, default);
        let address = text.parse();
        if address.is_err() && !text.is_empty() {
            self.report(key, &text, "must be IP:PORT, as 10.0.0.1:8080");
        }
        address.unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    fn integer(&mut self, key: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let Some(value) = self.take(key) else {
            return default;
        };
        let number = value
            .as_integer()
            .and_then(|number| u64::try_from(number).ok());
        match number.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let detail = format!(
                    "must be a whole number, {} to {}",
                    range.start(),
                    range.end()
                );
                self.report(key, &value.to_string(), detail);
                default
            }
        }
    }

    fn number(&mut self, key: &str, range: RangeInclusive<f64>, default: f64) -> f64 {
        let Some(value) = self.take(key) else {
            return default;
        };
        let integer = value.as_integer().map(|number| number as f64);
        let number = value.as_float().or(integer);
        match number.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let detail = format!("must be a number, {} to {}", range.start(), range.end());
                self.report(key, &value.to_string(), detail);
                default
            }
        }
    }

    fn millis(&mut self, key: &str, range: RangeInclusive<u64>, default: Duration) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.integer(key, range, default))
    }

    fn choice<T: Copy>(&mut self, key: &str, choices: &[(&str, T)], default: T) -> T {
        let Some(value) = self.take(key) else {
            return default;
        };
        let found = choices
            .iter()
            .find(|(name, _)| value.as_str() == Some(name));
        match found {
            Some((_, choice)) => *choice,
            None => {
                let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
                let detail = format!("must be one of {}", names.join(", "));
                self.report(key, &value.to_string(), detail);
                default
            }
        }
    }

    fn report_unknown(&mut self) {
        fn walk(prefix: &str, table: &Table, unknown: &mut Vec<(String, String)>) {
            for (key, value) in table {
                let key = format!("{prefix}{key}");
                match value {
                    Value::Table(inner) => walk(&format!("{key}."), inner, unknown),
                    other => unknown.push((key, other.to_string())),
                }
            }
        }
        let mut unknown = Vec::new();
        walk("", &self.table, &mut unknown);
        for (key, value) in unknown {
            self.report(&key, &value, "no such setting");
        }
    }
}

const LEVELS: [(&str, LevelFilter); 5] = [
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
    ("trace", LevelFilter::Trace),
];
const FORMATS: [(&str, LogFormat); 2] = [("plain", LogFormat::Plain), ("json", LogFormat::Json)];

/// A command-line option that overrides the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Override {
    /// Key as in the file.
    pub key: &'static str,
    /// Value as given, not validated yet.
    pub value: String,
}

/// Parses and validates the settings after applying the overrides.
pub fn read(text: &str, overrides: &[Override]) -> Result<Settings, Vec<SettingProblem>> {
    let mut table: Table = text.parse().map_err(|error: toml::de::Error| {
        vec![SettingProblem {
            key: "file".to_owned(),
            value: String::new(),
            detail: error.to_string(),
        }]
    })?;
    for setting in overrides {
        set(&mut table, setting);
    }
    let mut reader = Reader {
        table,
        problems: Vec::new(),
    };
    let settings = read_all(&mut reader);
    reader.report_unknown();
    if reader.problems.is_empty() {
        Ok(settings)
    } else {
        Err(reader.problems)
    }
}

fn set(table: &mut Table, setting: &Override) {
    match setting.key.split_once('.') {
        None => {
            table.insert(setting.key.to_owned(), Value::String(setting.value.clone()));
        }
        Some((section, key)) => {
            let inner = table
                .entry(section)
                .or_insert_with(|| Value::Table(Table::new()));
            if let Some(inner) = inner.as_table_mut() {
                inner.insert(key.to_owned(), Value::String(setting.value.clone()));
            }
        }
    }
}

fn read_all(reader: &mut Reader) -> Settings {
    let zone = reader.text("zone", None);
    let mut region_zones = reader.texts("region_zones");
    if region_zones.is_empty() {
        region_zones.push(zone.clone());
    }
    let platform = PlatformAddresses {
        table: reader.address("platform.table", None).to_string(),
        objects: reader.address("platform.objects", None).to_string(),
        machines: reader.address("platform.machines", None).to_string(),
        weights: reader.address("platform.weights", None).to_string(),
    };
    let bootstrap = reader.text("bootstrap", Some("none"));
    let peer_listen = reader.address("peer_listen", None);
    Settings {
        region: reader.text("region", None),
        api_listen: reader.address("api_listen", None),
        udp_listen: reader.address("udp_listen", Some(&peer_listen.to_string())),
        seeds: reader.texts("seeds"),
        bootstrap: (bootstrap != "none").then_some(bootstrap),
        log_format: reader.choice("log.format", &FORMATS, LogFormat::Plain),
        log_level: reader.choice("log.level", &LEVELS, LevelFilter::Info),
        node: read_node(reader),
        zone,
        region_zones,
        peer_listen,
        platform,
    }
}

fn read_node(reader: &mut Reader) -> NodeSettings {
    let mut node = NodeSettings::default();
    let narrow = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    node.shards = narrow(reader.integer("batch.shards", 1..=4096, u64::from(node.shards)));
    let slots = &mut node.slots;
    let running = u64::from(slots.max_running);
    slots.max_running = narrow(reader.integer("batch.engine_sequences", 1..=4096, running));
    slots.step_base_micros =
        reader.number("batch.step_base_micros", 1.0..=1e7, slots.step_base_micros);
    slots.step_sequence_micros = reader.number(
        "batch.step_sequence_micros",
        0.001..=1e6,
        slots.step_sequence_micros,
    );
    slots.prefill_token_micros = reader.number(
        "batch.prefill_token_micros",
        0.001..=1e6,
        slots.prefill_token_micros,
    );
    slots.step_target_micros = reader.number(
        "batch.step_target_micros",
        1.0..=1e7,
        slots.step_target_micros,
    );
    slots.prefill_share = reader.number("batch.prefill_share", 0.0..=1.0, slots.prefill_share);
    slots.burst_threshold_micros = reader.number(
        "batch.burst_micros",
        0.0..=1e9,
        slots.burst_threshold_micros,
    );
    let commit_delay = node.owner.core.commit_delay;
    node.owner.core.commit_delay =
        reader.millis("batch.commit_after_millis", 10..=600_000, commit_delay);
    let buffer = reader.integer("batch.buffer_mib", 1..=1024, 16);
    node.owner.core.max_buffered_bytes = usize::try_from(buffer << 20).unwrap_or(usize::MAX);
    let gateway = &mut node.gateway;
    let per_replica = u64::from(gateway.requests_per_replica);
    gateway.requests_per_replica =
        narrow(reader.integer("gateway.requests_a_replica", 1..=10_000, per_replica));
    let queue = gateway.admission.max_queued as u64;
    let queue = reader.integer("gateway.queue", 0..=100_000, queue);
    gateway.admission.max_queued = usize::try_from(queue).unwrap_or(usize::MAX);
    gateway.admission.max_wait = reader.millis(
        "gateway.longest_wait_millis",
        1..=600_000,
        gateway.admission.max_wait,
    );
    gateway.stall_timeout = reader.millis(
        "gateway.stall_timeout_millis",
        100..=600_000,
        gateway.stall_timeout,
    );
    let subset = reader.integer("gateway.subset", 1..=4096, node.subset as u64);
    node.subset = usize::try_from(subset).unwrap_or(usize::MAX);
    node.store_rate = reader.number("store.calls_per_second", 1.0..=1e6, node.store_rate);
    node.store_limits.call_timeout = reader.millis(
        "store.call_timeout_millis",
        10..=60_000,
        node.store_limits.call_timeout,
    );
    node.drain_timeout = reader.millis("drain_timeout_millis", 0..=3_600_000, node.drain_timeout);
    let memory = (node.request_memory_bytes >> 20) as u64;
    let memory = reader.integer("api.request_memory_mib", 16..=1 << 20, memory);
    node.request_memory_bytes = usize::try_from(memory << 20).unwrap_or(usize::MAX);
    let safe_after = node.freshness.safe_after;
    node.freshness.safe_after =
        reader.millis("config.safe_after_millis", 1000..=60_000, safe_after);
    node
}
