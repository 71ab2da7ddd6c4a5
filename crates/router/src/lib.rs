//! Selection of backend servers: KV block keys, prompt index, prices, load and warm-up.
//!
//! The crate only makes decisions and performs no I/O: the caller passes the time and the random
//! number generator, and every result is a value. [`Router`] holds what one daemon knows about
//! backend servers and links; [`IndexShard`] is the daemon's part of the prompt index.

mod breaker;
mod cold;
mod events;
mod index;
mod inflight;
mod kv;
mod load;
mod placement;
mod prefix_match;
mod price;
mod recent;
mod retry;
mod router;
mod select;
mod server;

pub use breaker::{Breaker, BreakerSettings, BreakerState};
pub use cold::{
    ColdCause, ColdSettings, WarmUpChange, WarmUpState, WeightLoadLimiter, WeightLoadRefusal,
};
pub use events::{BlockChange, CacheEvent};
pub use index::{BlockListing, Hint, Holder, IndexCounters, IndexShard, Location, Tier};
pub use inflight::{
    EndedImport, ImportKey, ImportRole, Imports, LinkRefusal, LinkReservations, Reservation,
    ReservationId, WaiterId,
};
pub use kv::{
    AdapterId, BlockHeader, BlockKey, Generation, KeyScope, Mismatch, ShortKey, WeightVersion,
    block_keys, digest, verify,
};
pub use load::{LoadReport, ServerLoad};
pub use placement::{
    PlacementAction, PlacementPolicy, PlacementSettings, ReturnPattern, SealedBlock, StoreState,
};
pub use prefix_match::{HolderMatch, PrefixMatch, leading_hints};
pub use price::{
    BlockSizes, CostWeights, EngineRates, Import, LinkRates, LinkView, Price, PricedPlan, Pricer,
    ServePlan,
};
pub use recent::RecentBlocks;
pub use retry::{FailedAttempt, RetryBudget, RetryRefusal, RetrySettings};
pub use router::{Router, RouterSettings};
pub use select::{
    Candidate, Choice, Decision, Excluded, Exclusion, Explanation, NEAR_EQUAL_SHARE, NoCandidate,
    PrefillPriority, RouteRequest,
};
pub use server::{SendOutcome, ServedModel, ServerChange, ServerSpec};
