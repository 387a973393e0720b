//! Copies of the store's spaces between daemons, by HTTP on the control address.

mod asking;
mod content;
mod replies;

pub use asking::HttpPeers;
pub use replies::SpaceReplies;
