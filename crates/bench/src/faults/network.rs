//! Simulated network between daemons, with delays, loss of datagrams and replies, and partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use harrierward_node::{Node, PeerError, PeerNetwork};
use harrierward_wire::{PeerReply, PeerRequest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use super::gate::{Gate, GateState};

const STEP: &str = "peer.call";

/// Maximum one-way delay, microseconds; the minimum is a tenth of it.
const MAX_DELAY_MICROS: u64 = 2_000;

struct Endpoint {
    node: Node,
    gate: Gate,
}

struct State {
    endpoints: BTreeMap<String, Endpoint>,
    cut: BTreeSet<(String, String)>,
    loss: f64,
    random: ChaCha8Rng,
}

/// Simulated network; clones share its state.
#[derive(Clone)]
pub struct SimulatedNetwork {
    state: Arc<Mutex<State>>,
}

impl SimulatedNetwork {
    /// Creates a network without daemons; `seed` determines delays and loss.
    pub fn new(seed: u64) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                endpoints: BTreeMap::new(),
                cut: BTreeSet::new(),
                loss: 0.0,
                random: ChaCha8Rng::seed_from_u64(seed),
            })),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Adds a daemon, reachable at `address` unless its gate is closed.
    pub fn add(&self, address: &str, node: Node, gate: Gate) {
        self.lock()
            .endpoints
            .insert(address.to_owned(), Endpoint { node, gate });
    }

    /// Partitions two daemons from each other, in both directions.
    pub fn cut(&self, one: &str, other: &str) {
        let mut state = self.lock();
        state.cut.insert((one.to_owned(), other.to_owned()));
        state.cut.insert((other.to_owned(), one.to_owned()));
    }

    /// Removes all partitions.
    pub fn heal(&self) {
        self.lock().cut.clear();
    }

    /// Sets the probability from 0 to 1 that a datagram or reply is lost.
    pub fn set_loss(&self, loss: f64) {
        self.lock().loss = loss;
    }

    fn delay(&self) -> Duration {
        let micros = self
            .lock()
            .random
            .random_range(MAX_DELAY_MICROS / 10..=MAX_DELAY_MICROS);
        Duration::from_micros(micros)
    }

    fn draw_loss(&self) -> bool {
        let mut state = self.lock();
        let loss = state.loss;
        loss > 0.0 && state.random.random::<f64>() < loss
    }

    /// Returns the daemon at `to` if it is live and not partitioned from `from`.
    fn reachable(&self, from: &str, to: &str) -> Option<(Node, Gate)> {
        let state = self.lock();
        if state.cut.contains(&(from.to_owned(), to.to_owned())) {
            return None;
        }
        let endpoint = state.endpoints.get(to)?;
        let alive = endpoint.gate.state() != GateState::Closed;
        alive.then(|| (endpoint.node.clone(), endpoint.gate.clone()))
    }
}

/// One daemon's access to the network, through its gate.
pub struct NodeNetwork {
    pub network: SimulatedNetwork,
    pub address: String,
    pub gate: Gate,
}

#[async_trait]
impl PeerNetwork for NodeNetwork {
    async fn call(&self, address: &str, request: PeerRequest) -> Result<PeerReply, PeerError> {
        self.gate.pass().await;
        sleep(self.network.delay()).await;
        let Some((node, gate)) = self.network.reachable(&self.address, address) else {
            return Err(PeerError::NotSent {
                step: STEP,
                peer: address.to_owned(),
                detail: "unreachable".to_owned(),
            });
        };
        gate.pass().await;
        let reply = node.serve_peer(request).await;
        gate.pass().await;
        sleep(self.network.delay()).await;
        let cut = self.network.reachable(address, &self.address).is_none();
        self.gate.pass().await;
        if cut || self.network.draw_loss() {
            return Err(PeerError::Lost {
                step: STEP,
                peer: address.to_owned(),
                detail: "answer lost".to_owned(),
            });
        }
        Ok(reply)
    }

    async fn send(&self, address: &str, datagram: Vec<u8>) {
        self.gate.pass().await;
        if self.network.draw_loss() {
            return;
        }
        let network = self.network.clone();
        let (from, to) = (self.address.clone(), address.to_owned());
        tokio::spawn(async move {
            sleep(network.delay()).await;
            if let Some((node, gate)) = network.reachable(&from, &to)
                && gate.state() == GateState::Open
            {
                node.receive_datagram(&datagram).await;
            }
        });
    }
}
