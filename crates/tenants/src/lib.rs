//! Tenants: API keys, the directory that names a key's tenant, and rate limits that hold for a whole fleet.
//!
//! Pure: the callers bring the time. A tenant's rate is counted by one daemon, its coordinator ([`RateLedger`]), which
//! gives out tokens for single requests; the daemons that take the requests keep them for a moment ([`TokenPool`]).

mod bucket;
mod directory;
mod fleet;
mod initial_allowance;
mod key;
mod ledger;
mod rate;
mod regions;
mod succession;
mod token_pool;

pub use bucket::TokenBucket;
pub use directory::{DirectoryError, Tenant, TenantDirectory, TenantSpec};
pub use fleet::{FleetSize, FleetSizes};
pub use key::ApiKey;
pub use ledger::{RateDecision, RateLedger};
pub use rate::{InvalidRate, RateBounds, RateLimit, TOKEN_LIFETIME};
pub use regions::AllowedRegions;
pub use succession::Succession;
pub use token_pool::TokenPool;
