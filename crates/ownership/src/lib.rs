//! Who may take over what another daemon owns: pure, so that the protocol can be run on a clock of its own.
//!
//! A thing (a job) has a record in the store that changes only under its revision and that every daemon watches. Views of the
//! fleet differ in cuts and in stalls, so a view alone takes nothing from its owner: who holds an owner for gone challenges it in
//! the record, and an owner that lives and reaches the store refutes that by writing the record. Only a challenge that duration is
//! followed by a takeover, under the challenge's revision. A calm fleet writes nothing.
//!
//! What nobody watches (shards, replicas) cannot be challenged soon: there [`Cooldowns`] alone bound the turns.

mod cooldowns;
mod takeovers;

pub use cooldowns::Cooldowns;
pub use takeovers::{OwnerStatus, OwnershipRecord, Step, TakeoverBounds, Takeovers};
