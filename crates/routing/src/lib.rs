//! Choosing a replica: pure selection over a table of replicas, their estimated loads and a prefix index.
//!
//! Why estimates: load reports are a second or two old and many gateways choose at once. A gateway therefore
//! ages each report and adds what it has itself in flight, and looks at a few replicas only, so that gateways
//! with the same reports do not all choose the same one.

mod load;
mod prefix_index;
mod subset;
mod table;

pub use load::{CONFIRMATION_TTL_MICROS, CostModel, LoadReport, ReplicaLoad};
pub use prefix_index::{PrefixIndex, PrefixOverlap};
pub use subset::{SubsetMember, rank_by_rendezvous, rendezvous_owner, stable_subset};
pub use table::{Choice, ReplicaEntry, RouteRequest, RoutingTable};
