//! Stand-ins for the external systems, with seeded faults, for tests and the demo.
//!
//! Each stand-in speaks the protocol of one external system over HTTP/1.1. It runs in the process
//! of the test or as a process of its own (`anvilgw-standin KIND --listen ADDR`). Faults are set by
//! a method call or by `POST /control/faults`; random faults are drawn from a seeded generator.

mod connection;
mod engine;
mod fault_rng;
mod http_client;
mod instances;
mod link;
mod log;
mod memory_log;
mod pause;
mod rate_limiter;
mod server;
mod service;
mod store;
mod weights;

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
