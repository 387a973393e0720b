//! One daemon, independent of its transport: production uses sockets, the fault simulation a network with loss,
//! delay and partitions on virtual time.

mod batch_item;
mod cancel_freshness;
mod cancel_task;
mod capacity_task;
mod clock;
mod config_task;
mod directory_task;
mod membership_task;
mod network;
mod node;
mod online_view;
mod ownership;
mod peer_service;
mod roster_task;
mod runner;
mod settings;
mod transport;

pub use clock::now_ms;
pub use network::{NoPeers, PeerError, PeerNetwork};
pub use node::{Node, NodeIdentity, NodeParts, NodeStatus, StartError};
pub use settings::NodeSettings;
pub use transport::{SocketNetwork, peer_router, serve_datagrams};
