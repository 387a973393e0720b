//! What the machine gives the process, and how much of it callers may use.

use harrierward_memory::BudgetSizes;

/// Memory and descriptors of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory, bytes. The process is killed above it.
    pub memory_bytes: usize,
    /// Sockets and pipes that may be open.
    pub sockets: usize,
}

/// Shares of the memory, in percent. The rest is for the program itself, its copies of the store's rows, and the
/// allocator's fragmentation.
const REQUEST_PERCENT: usize = 25;
const SUBMISSION_PERCENT: usize = 10;
const JOB_PERCENT: usize = 15;
const CONNECTION_PERCENT: usize = 20;

/// Share of the sockets that callers' connections may use, in percent. Each request in progress uses one more towards a
/// replica; the rest is for the store, peers, metrics, and replicas' connections kept open.
const CALLER_SOCKET_PERCENT: usize = 40;

/// Size of the kernel's receive buffer of a caller's connection, bytes. Bytes that wait there count as memory of the
/// process; the kernel takes twice the size for its bookkeeping.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Memory that a caller's connection may cost, bytes: its head, its task and buffers, and the kernel's receive buffer.
const CONNECTION_BYTES: usize = (16 << 10) + (8 << 10) + RECEIVE_BUFFER_BYTES;

/// Largest body, in bytes, that may use the reserve of the memory for requests.
const SMALL_BODY_BYTES: usize = 64 << 10;

impl MachineLimits {
    /// Returns the sizes of the budget for requests: their bodies, and responses that are built whole.
    pub fn request_memory(&self) -> BudgetSizes {
        BudgetSizes {
            total: percent(self.memory_bytes, REQUEST_PERCENT),
            small: SMALL_BODY_BYTES,
        }
    }

    /// Returns the bytes that submissions of jobs may take while they are decoded and stored.
    pub fn submission_bytes(&self) -> usize {
        percent(self.memory_bytes, SUBMISSION_PERCENT)
    }

    /// Returns the bytes that the items of jobs may take which this daemon runs.
    pub fn job_bytes(&self) -> usize {
        percent(self.memory_bytes, JOB_PERCENT)
    }

    /// Returns how many callers may be connected.
    pub fn caller_connections(&self) -> usize {
        let by_memory = percent(self.memory_bytes, CONNECTION_PERCENT) / CONNECTION_BYTES;
        percent(self.sockets, CALLER_SOCKET_PERCENT).min(by_memory)
    }
}

fn percent(all: usize, share: usize) -> usize {
    all / 100 * share
}
