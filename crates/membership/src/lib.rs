//! SWIM-style membership: failure detection with indirect probes, suspicion, leaving, and gossip of small updates.
//!
//! Each daemon probes one other per interval, so traffic per daemon is independent of the fleet's size. Membership is
//! only a hint: ownership is made safe by epochs.

mod core;
mod settings;
mod view;

pub use crate::core::{ConfigStatus, MembershipCore, OutgoingDatagram, PeerReport};
pub use settings::MembershipSettings;
pub use view::{Member, MembershipView};
