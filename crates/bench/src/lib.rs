//! Fault simulation on virtual time, and load measurements over real sockets.

pub mod faults;
pub mod speed;
