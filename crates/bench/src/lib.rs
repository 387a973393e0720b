//! Measuring and proving: fault simulation, and load over real sockets.

pub mod faults;
pub mod speed;
