//! HTTP clients of the external systems, and the messages that servers of the same protocols share.

mod caller;
mod engine;
mod framing;
mod listen;
mod machines;
pub mod messages;
mod objects;
mod table;
mod weights;

pub use caller::{CallError, HttpCaller, HttpResponse};
pub use engine::HttpEngine;
pub use framing::ends_in_chunks;
pub use listen::with_nodelay;
pub use machines::HttpMachineList;
pub use objects::HttpObjectStore;
pub use table::HttpTable;
pub use weights::HttpWeightStore;
