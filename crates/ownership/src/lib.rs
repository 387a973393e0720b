//! Protocol for taking over resources that another daemon owns. Pure, so that it can run on a simulated clock.
//!
//! A resource (a job) has a record in the store that is written under its revision and watched by all daemons. Views
//! of the fleet differ during partitions and stalls, so an absent owner is first challenged in the record; a live
//! owner that reaches the store refutes the challenge by writing the record. A challenge that isn't refuted in time is
//! followed by a takeover under its revision. Without absent owners nothing is written. An owner that others may
//! consider absent ([`TakeoverRisk`]) reads its records, because its watch may omit a challenge.
//!
//! Resources whose records aren't watched (shards, replicas) can't be challenged in time; there only [`Cooldowns`]
//! bound the rate of takeovers.

mod cooldowns;
mod takeover_risk;
mod takeovers;

pub use cooldowns::Cooldowns;
pub use takeover_risk::{RiskBounds, RiskCause, TakeoverRisk};
pub use takeovers::{OwnerStatus, OwnershipRecord, Step, TakeoverBounds, Takeovers};
