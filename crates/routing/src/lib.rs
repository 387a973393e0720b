//! Replica selection over a table of replicas, their estimated loads and an index of cached prompt prefixes.
//!
//! Load reports are seconds old and many gateways choose at once. A gateway therefore ages each report, adds its own
//! requests in flight and samples few replicas, so that gateways with the same reports don't all pick the same
//! replica.

mod load;
mod prefix_index;
mod subset;
mod table;

pub use load::{CONFIRMATION_TTL_MICROS, CostModel, LoadReport, ReplicaLoad};
pub use prefix_index::{PrefixIndex, PrefixOverlap};
pub use subset::{SubsetCandidate, rank_by_rendezvous, rendezvous_owner, stable_subset};
pub use table::{Choice, ReplicaEntry, RouteRequest, RoutingTable};
