//! Relay of the store's spaces between daemons, by HTTP on the control address.

mod client;
mod content;
mod server;

pub use client::HttpPeers;
pub use server::SpaceReplies;
