//! Bounds the memory that callers can make a process hold. Every byte of a request's body is taken from one budget
//! before it is stored, and returns when its last holder drops it. Callers that stall are ended when others need room.

mod budget;
mod collect;
mod fair;
mod ledger;
mod transfer;

pub use budget::{MemoryBudget, NoMemory, Permit};
pub use collect::{BodyError, collect};
pub use fair::{FairMemory, FairPermit};
pub use ledger::{BudgetSizes, Ledger, TransferId};
pub use transfer::{Delivery, TransferEnded, Upload};
