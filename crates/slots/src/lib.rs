//! The places that requests hold at replicas, as one daemon for each group of replicas keeps them: pure.
//!
//! Why: daemons that choose by what they last heard of each other choose the same replica at the same moment, and a
//! request that meets batch items there does not know that it must ask for a slot. One keeper that gives out the
//! places of a group one after the other knows both. What it knows is a hint: it is built anew from the holders'
//! words within a second, and no promise depends on it.

mod groups;
mod held;
mod ledger;

pub use groups::{GroupId, GroupLayout, keeper_of};
pub use held::HeldPlaces;
pub use ledger::{EndedPlace, PlaceCounts, PlaceUse, SlotLedger};
