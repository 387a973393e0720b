//! One serving daemon without machines for control and without disk: its server towards callers, its connections
//! to back ends, its copies of what the store says, and its peers.

mod calls;
mod daemon;
mod discovery;
mod figures;
mod fleet;
mod hedged;
mod members;
mod peer_loads;
mod peer_news;
mod peer_rows;
mod pool;
mod quarantine;
mod rates;
mod relay;
mod rendezvous;
mod response_budget;
mod round_trips;
mod server;
mod settings;
mod slots;
mod stall;
mod stop;
mod watches;

pub use daemon::{Daemon, DaemonParts, EdgeService};
pub use discovery::{Discovery, DiscoverySource};
pub use fleet::SharedFleet;
pub use harrierward_wire::FORMAT_LEVEL;
pub use hedged::first_answer;
pub use members::Members;
pub use peer_loads::{PeerCounts, PeerLoads};
pub use peer_news::PeerNews;
pub use pool::{
    ConnectionPool, PoolError, PoolSettings, PooledBody, PooledResponse, RequestBody, has_token,
};
pub use quarantine::QuarantineService;
pub use rates::RateService;
pub use relay::{HttpPeers, SpaceReplies};
pub use response_budget::ResponseBudget;
pub use server::{HttpService, ResponseBody, ServerControl, ServerStage, serve};
pub use settings::{AdvertisedAddresses, EdgeSettings};
pub use slots::{CoordinatorCandidate, Pacing, PreemptItems, SlotService};
