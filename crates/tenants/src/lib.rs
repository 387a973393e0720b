//! Tenants: API keys, the directory of tenants, and rate limits that hold over the whole fleet.
//!
//! Pure: callers supply the time. One daemon, the coordinator, accounts for a tenant's rate ([`RateLedger`]) and
//! grants tokens for single requests; the other daemons hold them for a short time ([`TokenPool`]).

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
