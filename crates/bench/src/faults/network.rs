//! The network between simulated daemons: it delays, loses datagrams and answers, and can be cut.

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

/// Greatest one-way delay, microseconds; the least is a tenth.
const DELAY_MICROS: u64 = 2_000;

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

/// The network; cheap to clone.
#[derive(Clone)]
pub struct SimulatedNetwork {
    state: Arc<Mutex<State>>,
}

impl SimulatedNetwork {
    /// A network without daemons.
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

    /// Adds a daemon.
    pub fn add(&self, address: &str, node: Node, gate: Gate) {
        self.lock()
            .endpoints
            .insert(address.to_owned(), Endpoint { node, gate });
    }

    /// Cuts the two daemons off from each other, in both directions.
    pub fn cut(&self, one: &str, other: &str) {
        let mut state = self.lock();
        state.cut.insert((one.to_owned(), other.to_owned()));
        state.cut.insert((other.to_owned(), one.to_owned()));
    }

    /// Mends all cuts.
    pub fn mend(&self) {
        self.lock().cut.clear();
    }

    /// Sets the share of datagrams and answers that are lost.
    pub fn set_loss(&self, loss: f64) {
        self.lock().loss = loss;
    }

    fn delay(&self) -> Duration {
        let micros = self
            .lock()
            .random
            .random_range(DELAY_MICROS / 10..=DELAY_MICROS);
        Duration::from_micros(micros)
    }

    fn lost(&self) -> bool {
        let mut state = self.lock();
        let loss = state.loss;
        loss > 0.0 && state.random.random::<f64>() < loss
    }

    /// The daemon at `to`, if `from` can reach it.
    fn reach(&self, from: &str, to: &str) -> Option<(Node, Gate)> {
        let state = self.lock();
        if state.cut.contains(&(from.to_owned(), to.to_owned())) {
            return None;
        }
        let endpoint = state.endpoints.get(to)?;
        let alive = endpoint.gate.state() != GateState::Closed;
        alive.then(|| (endpoint.node.clone(), endpoint.gate.clone()))
    }
}

/// The network as one daemon sees it.
pub struct NetworkFrom {
    pub network: SimulatedNetwork,
    pub address: String,
    pub gate: Gate,
}

#[async_trait]
impl PeerNetwork for NetworkFrom {
    async fn call(&self, address: &str, request: PeerRequest) -> Result<PeerReply, PeerError> {
        self.gate.pass().await;
        sleep(self.network.delay()).await;
        let Some((node, gate)) = self.network.reach(&self.address, address) else {
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
        let cut = self.network.reach(address, &self.address).is_none();
        self.gate.pass().await;
        if cut || self.network.lost() {
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
        if self.network.lost() {
            return;
        }
        let network = self.network.clone();
        let (from, to) = (self.address.clone(), address.to_owned());
        tokio::spawn(async move {
            sleep(network.delay()).await;
            if let Some((node, gate)) = network.reach(&from, &to)
                && gate.state() == GateState::Open
            {
                node.receive_datagram(&datagram).await;
            }
        });
    }
}
