//! Copies of the store's spaces: kept up to date by a watch, and handed from daemon to daemon within a zone.
//!
//! Why handed on: where each daemon reads the store for itself, its bytes grow with daemons x rows. In a zone with many
//! daemons few of them read the store, and the others follow them along a [tree](RelayTree). What a daemon is told
//! carries the age of its proof, so that nobody takes old rows for new ones, whoever it asks.

mod pace;
mod peer_copies;
mod relay;
mod shared_space;
mod sources;
mod space_copy;
mod tree;
mod watch;

pub use pace::{
    WatchPace, WholeReadPace, gathering_interval, unpaced, unpaced_reads, whole_read_interval,
};
pub use peer_copies::{PeerAnswer, PeerCopies, SpaceAsk};
pub use relay::Relay;
pub use shared_space::{HeldAnswer, SharedSpace};
pub use sources::{RelayMode, Source, SourceFailure, Sources};
pub use space_copy::{SpaceAnswer, SpaceCopy, SpaceUpdate};
pub use tree::{RelayPeer, RelayTree};
pub use watch::{Watch, WatchSettings};
