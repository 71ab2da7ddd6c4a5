//! Encoding of pages of the log. A page names each store and each scope once, as a snapshot contains
//! thousands of parts of few scopes.

use super::{CacheStoreChange, CacheStorePage, CacheUpdate, ContentsAge};
use bincode::de::Decoder;
use bincode::enc::Encoder;
use bincode::error::{DecodeError, EncodeError};
use bincode::{Decode, Encode};
use indexmap::IndexSet;
use std::net::SocketAddr;

/// A page as it is encoded. `T` is the type of its texts.
#[derive(Encode, Decode)]
struct EncodedPage<T> {
    log_id: u64,
    next: u64,
    is_snapshot: bool,
    clock_ms: Option<u64>,
    stores: Vec<SocketAddr>,
    scopes: Vec<T>,
    changes: Vec<EncodedChange<T>>,
    ages: Vec<ContentsAge>,
}

#[derive(Encode, Decode)]
struct EncodedChange<T> {
    /// Index of the store in the page.
    store: usize,
    update: EncodedUpdate<T>,
}

#[derive(Encode, Decode)]
enum EncodedUpdate<T> {
    Part {
        /// Index of the scope in the page.
        scope: usize,
        id: T,
        tokens: u32,
    },
    Reset,
    Unreachable,
}

impl<'a> EncodedPage<&'a str> {
    fn new(page: &'a CacheStorePage) -> Self {
        let mut stores = IndexSet::new();
        let mut scopes = IndexSet::new();
        let changes = page.changes.iter().map(|change| EncodedChange {
            store: stores.insert_full(change.store).0,
            update: match &change.update {
                CacheUpdate::Part { scope, id, tokens } => EncodedUpdate::Part {
                    scope: scopes.insert_full(scope.as_str()).0,
                    id: id.as_str(),
                    tokens: *tokens,
                },
                CacheUpdate::Reset => EncodedUpdate::Reset,
                CacheUpdate::Unreachable => EncodedUpdate::Unreachable,
            },
        });
        let changes = changes.collect();
        Self {
            log_id: page.log_id,
            next: page.next,
            is_snapshot: page.is_snapshot,
            clock_ms: page.clock_ms,
            stores: stores.into_iter().collect(),
            scopes: scopes.into_iter().collect(),
            changes,
            ages: page.ages.clone(),
        }
    }
}

impl EncodedPage<String> {
    /// Returns the page, or `None` if a change refers to a store or scope that the page lacks.
    fn into_page(self) -> Option<CacheStorePage> {
        let (stores, scopes) = (self.stores, self.scopes);
        let changes = self.changes.into_iter().map(|change| {
            let update = match change.update {
                EncodedUpdate::Part { scope, id, tokens } => CacheUpdate::Part {
                    scope: scopes.get(scope)?.clone(),
                    id,
                    tokens,
                },
                EncodedUpdate::Reset => CacheUpdate::Reset,
                EncodedUpdate::Unreachable => CacheUpdate::Unreachable,
            };
            Some(CacheStoreChange {
                store: *stores.get(change.store)?,
                update,
            })
        });
        Some(CacheStorePage {
            log_id: self.log_id,
            next: self.next,
            is_snapshot: self.is_snapshot,
            clock_ms: self.clock_ms,
            changes: changes.collect::<Option<_>>()?,
            ages: self.ages,
        })
    }
}

impl Encode for CacheStorePage {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        EncodedPage::new(self).encode(encoder)
    }
}

impl<Context> Decode<Context> for CacheStorePage {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        let page = EncodedPage::<String>::decode(decoder)?;
        let page = page.into_page();
        page.ok_or(DecodeError::Other("a change of an unknown store or scope"))
    }
}
