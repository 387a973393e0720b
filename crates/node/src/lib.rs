//! One daemon, put together from its roles, apart from its transports.
//!
//! Why apart: the program gives it sockets, and the fault simulation gives the very same code a network that
//! loses, delays and cuts, on virtual time.

mod assurance;
mod batch_item;
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
