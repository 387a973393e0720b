//! One serving daemon: its HTTP servers, connection pool, copies of the store's spaces, and peers. It keeps no state
//! on disk.

mod audits;
mod calls;
mod collected_body;
mod daemon;
mod discovery;
mod fleet;
mod hedged;
mod machine;
mod members;
mod metrics;
mod peer_loads;
mod peer_rows;
mod peer_updates;
mod pool;
mod quarantine;
mod rates;
mod rejected_rows;
mod relay;
mod rendezvous;
mod response_budget;
mod round_trips;
mod server;
mod settings;
mod slots;
mod stall;
mod stop;
mod streams;
mod watches;

pub use collected_body::CollectedBody;
pub use daemon::{Daemon, DaemonParts, EdgeService};
pub use discovery::{Discovery, DiscoverySource};
pub use fleet::SharedFleet;
pub use harrierward_wire::FORMAT_LEVEL;
pub use hedged::first_response;
pub use machine::MachineLimits;
pub use members::Members;
pub use peer_loads::{PeerCounts, PeerLoads};
pub use peer_updates::PeerUpdates;
pub use pool::{
    ConnectionPool, PoolError, PoolSettings, PooledBody, PooledResponse, RequestBody, has_token,
};
pub use quarantine::QuarantineService;
pub use rates::RateService;
pub use relay::{HttpPeers, SpaceReplies};
pub use response_budget::ResponseBudget;
pub use server::{
    ConnectionBound, HttpService, RequestId, ResponseBody, ServerControl, ServerStage, serve,
};
pub use settings::{AdvertisedAddresses, EdgeSettings};
pub use slots::{CoordinatorCandidate, Pacing, PreemptItems, SlotService};
pub use streams::{StreamService, StreamStoreParts};
