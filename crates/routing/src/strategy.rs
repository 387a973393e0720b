//! Ways of choosing; all but the first are baselines to measure against.

/// How a replica is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Least expected wait among those with the prefix and two random ones.
    ExpectedWait,
    /// Each in turn.
    RoundRobin,
    /// Fewest own requests in flight.
    LeastOutstanding,
}

impl Strategy {
    /// Finds a strategy by the name used in experiment files.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "expected_wait" => Some(Self::ExpectedWait),
            "round_robin" => Some(Self::RoundRobin),
            "least_outstanding" => Some(Self::LeastOutstanding),
            _ => None,
        }
    }
}
