//! Small stand-ins for the outside systems, with seeded faults, for tests and the demo.
//!
//! Each stand-in speaks the protocol of one outside system over HTTP/1.1 on a loopback address, in
//! the process of the test or as `anvilgw-standin KIND --listen ADDR`. Faults are set by typed calls
//! or by `POST /control/faults`; whatever is left to chance is drawn from a seeded generator.

mod engine;
mod fault_rng;
mod fetch;
mod instances;
mod limits;
mod link;
mod log;
mod memory_log;
mod pause;
mod server;
mod service;
mod store;
mod weights;
mod wire;

pub use engine::{
    AnswerGenerator, CacheChange, CacheEvent, CacheEvents, EngineConfig, EngineCounters,
    EngineFaults, EngineLoad, EngineStandin, Extension, FencedOrder, ImportBlock, KvBlock, Order,
    OrderState, Usage, answer_text, kv_content, prompt_of, token_count,
};
pub use instances::{
    InstanceEntry, InstanceListConfig, InstanceListFaults, InstanceListStandin, InstanceState,
};
pub use log::LogStandin;
pub use memory_log::{LogConfig, LogCounters, LogFaults, MemoryLog};
pub use server::{ConnectionFaults, RunningStandin};
pub use service::{ServiceConfig, ServiceFaults, ServiceLoad, ServiceStandin};
pub use store::{StoreConfig, StoreCounters, StoreFaults, StoreStandin, StoredBlock, Tier};
pub use weights::{WeightStoreConfig, WeightStoreCounters, WeightStoreFaults, WeightStoreStandin};
