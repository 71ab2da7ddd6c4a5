//! HTTP clients for the systems around the gateway: model engines, plain services, stores, the log
//! service and the instance list.
//!
//! All clients use the same kind of connection: HTTP/1.1 over an I/O wrapper that counts the bytes
//! written and records when the last byte was sent or received. The error of a failed exchange
//! therefore tells reliably whether anything was sent. A connection that goes silent is closed, or
//! reported if the user of the exchange asks for that, and new requests use a new one.

mod connection;
mod control;
mod engine;
mod error;
mod exchange;
mod instances;
mod json;
mod kv;
mod log;
mod pool;
mod service;
mod silence;
mod store;

pub use connection::ConnectionSettings;
pub use control::{
    CacheChange, CacheEvent, CacheEvents, EngineControl, EngineLoad, ExportResult, ImportResult,
    Order, OrderAnswer, OrderState, RefusedImport,
};
pub use engine::{
    DroppedEvents, EngineClient, EngineError, EngineEvent, EngineRequest, EngineStream, EngineUsage,
};
pub use error::{TransportCause, TransportError};
pub use exchange::CallOptions;
pub use instances::{InstanceEntry, InstanceList, InstanceListClient, InstanceState};
pub use json::PlatformError;
pub use kv::{KvBlock, KvImport, KvSource};
pub use log::{HttpLogService, LogClientSettings};
pub use pool::PoolCounters;
pub use service::{ServiceAnswer, ServiceCall, ServiceClient, ServiceConnection, ServiceLoad};
pub use silence::SilenceSignal;
pub use store::{StoreClient, StoreError, StoreListing, StoredBlock, Tier};
