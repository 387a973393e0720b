//! Measuring and proving: fault simulation, experiments, hollow fleet and load.

pub mod experiment;
pub mod faults;
pub mod fleet;
pub mod speed;
