//! Arrivals, made once from the seed and used by every arm.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::definition::Experiment;

/// Characters of a prompt that make up one token at the stand-in engines.
const CHARACTERS_A_TOKEN: usize = 4;

/// One online request.
#[derive(Debug, Clone)]
pub struct OnlineArrival {
    /// When the client sends it, microseconds.
    pub at_micros: u64,
    /// Gateway that takes it.
    pub gateway: usize,
    /// Prompt.
    pub prompt: String,
}

/// One heap of batch items.
#[derive(Debug, Clone)]
pub struct Heap {
    /// When it comes, microseconds.
    pub at_micros: u64,
    /// Prompts of its items.
    pub prompts: Vec<String>,
}

/// All arrivals.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Online requests, in order of time.
    pub online: Vec<OnlineArrival>,
    /// Heaps, in order of time.
    pub heaps: Vec<Heap>,
}

fn filler(label: &str, tokens: u32) -> String {
    let length = tokens as usize * CHARACTERS_A_TOKEN;
    let mut text = String::with_capacity(length + label.len());
    while text.len() < length {
        text.push_str(label);
        text.push(' ');
    }
    text.truncate(length);
    text
}

impl Workload {
    /// Makes the arrivals of an experiment.
    pub fn generate(experiment: &Experiment) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(experiment.seed);
        Self {
            online: online(experiment, &mut random),
            heaps: heaps(experiment),
        }
    }
}

fn rate_at(experiment: &Experiment, seconds: f64) -> f64 {
    let load = &experiment.online;
    let burst = load
        .bursts
        .iter()
        .find(|burst| seconds >= burst.at && seconds < burst.at + burst.seconds);
    load.rate * burst.map_or(1.0, |burst| burst.factor)
}

/// Open-loop arrivals: exponential gaps at the rate of the moment.
fn online(experiment: &Experiment, random: &mut ChaCha8Rng) -> Vec<OnlineArrival> {
    let load = &experiment.online;
    let mut arrivals = Vec::new();
    let mut seconds = 0.0;
    loop {
        let draw: f64 = random.random();
        seconds += -(1.0 - draw).ln() / rate_at(experiment, seconds);
        if seconds >= experiment.seconds {
            return arrivals;
        }
        let prefix = random.random_range(0..load.prefixes.max(1));
        let own = random.random_range(load.own_tokens[0]..=load.own_tokens[1]);
        let number = arrivals.len();
        let shared = filler(&format!("prefix{prefix}"), load.prefix_tokens);
        let prompt = shared + filler(&format!("q{number}"), own).as_str();
        arrivals.push(OnlineArrival {
            at_micros: (seconds * 1e6) as u64,
            gateway: random.random_range(0..experiment.gateways as usize),
            prompt,
        });
    }
}

fn heaps(experiment: &Experiment) -> Vec<Heap> {
    let load = &experiment.batch;
    let count = (experiment.seconds / load.every).ceil() as usize;
    (0..count)
        .map(|heap| {
            let shared = filler(&format!("job{heap}"), load.prefix_tokens);
            let prompts = (0..load.items)
                .map(|item| {
                    shared.clone() + filler(&format!("i{heap}-{item}"), load.own_tokens).as_str()
                })
                .collect();
            Heap {
                at_micros: (heap as f64 * load.every * 1e6) as u64,
                prompts,
            }
        })
        .collect()
}
