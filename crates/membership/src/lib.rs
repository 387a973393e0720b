//! Membership: failure detection with indirect probes, suspicion, leaving, and the spread of small news.
//!
//! Why our own: a full mesh of heartbeats at 520 daemons would break the budget of a daemon. Here each daemon
//! probes one other a second, and news rides on probes and acknowledgements. The outcome is a hint only:
//! ownership is made safe by epochs, never by membership.

mod core;
mod settings;
mod view;

pub use crate::core::{Action, ConfigWord, MembershipCore, ReceivedWord};
pub use settings::MembershipSettings;
pub use view::{Member, MembershipView};
