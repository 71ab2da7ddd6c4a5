//! New weights of one model are named. Kept parts of another model, whose weights stay, are freed
//! in the store while servers fetch them.

use crate::Context;
use crate::cache::CacheStore;
use crate::client::{HOST, Request, send};
use crate::daemons::Daemon;
use crate::engine::{Engine, World};
use crate::store::Store;
use std::io::{Error, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const RENEWED: &str = "model-a";
const UNCHANGED: &str = "model-b";
const KV_BYTES: u64 = 35_136;
/// Fewer parts fit into the servers' memory, so that they are fetched again and again.
const ENGINE_TOKENS: u64 = 40_000;
const DAEMONS: usize = 4;
const STORES: usize = 3;
const STORE_LINK_MBPS: f64 = 12_000.0;
const PREFIXES: usize = 10;
const PERIOD: Duration = Duration::from_millis(110);
const NAMED_AFTER: Duration = Duration::from_secs(12);
const LENGTH: Duration = Duration::from_secs(50);

fn configuration(caches: &[Arc<CacheStore>]) -> String {
    let stores: Vec<String> = caches
        .iter()
        .enumerate()
        .map(|(index, cache)| {
            format!(
                r#"{{"name":"kv-{index}","kvStoreAddr":"{}","zone":"za","kvCapacityTokens":{},"linkMbps":{:.1},"maxInflight":12,"managed":true,"first_ms":{}}}"#,
                cache.address, cache.capacity_tokens, cache.link_mbps, cache.first_ms
            )
        })
        .collect();
    let stores = stores.join(",");
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-draft","host":"{HOST}","pathPrefix":"/draft/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":600,"priority":2,"service":"lm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":400}}],"services":[{stores},{{"name":"lm","healthCheck":"/health","maxConnections":832,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":16.0,"engine":{{"slots":64,"kvCapacityTokens":{ENGINE_TOKENS},"kvBytes":{KV_BYTES},"linkMbps":1500000.0,"moves":true,"backups":true,"managed":true,"stride":7,"maxInflight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"{RENEWED}"}},{{"name":"{UNCHANGED}"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"club","apiKeys":["key-club"],"priority":2}}]}}"#
    )
}

/// Returns a number that looks random and is the same in each run.
fn scattered(count: usize) -> usize {
    let mixed = (count as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 40) as usize
}

pub fn run(context: &Context) -> Result<()> {
    let record = &context.record;
    let (store, store_address) = Store::start()?;
    let caches: Vec<Arc<CacheStore>> = (0..STORES)
        .map(|_| CacheStore::start(record, STORE_LINK_MBPS, KV_BYTES))
        .collect::<Result<_>>()?;
    let world = World::new(Arc::clone(record), Arc::clone(&store), caches.clone());
    store.write("keyed.op", "config", &configuration(&caches));
    let mut engines = Vec::new();
    for index in 0..2 {
        let id = format!("i-{index}");
        let models = [RENEWED, UNCHANGED];
        engines.push(Engine::start(&world, &id, "lm", &models, ENGINE_TOKENS)?);
    }
    let daemons: Vec<Daemon> = (1..=DAEMONS)
        .map(|number| {
            let name = format!("front-{number}");
            Daemon::start(record, &context.folder, &name, store_address, 96)
        })
        .collect::<Result<_>>()?;
    sleep(Duration::from_secs(3));
    let answered = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    let started_at = Instant::now();
    let mut is_named = false;
    let mut count: usize = 0;
    while started_at.elapsed() < LENGTH {
        if context.has_trouble && !is_named && started_at.elapsed() >= NAMED_AFTER {
            is_named = true;
            let mut named = world.named.lock().expect("named");
            named.insert(RENEWED.to_owned(), 2);
            drop(named);
            let body = format!(r#"{{"model":"{RENEWED}","version":2}}"#);
            store.write("keyed.op", &format!("version/{RENEWED}"), &body);
            record.line(&format!(
                "operator: names version 2 of {RENEWED}; acknowledged"
            ));
        }
        let (model, letter) = if count % 8 == 7 {
            (RENEWED, 'a')
        } else {
            (UNCHANGED, 'b')
        };
        let prefix = scattered(count) % PREFIXES;
        let attempt = format!("{letter}-{count}");
        let headers = format!(
            "Model: {model}\r\nToken-Count: 12200,8\r\n\
             Prompt-Prefix: {letter}{prefix:04x}:12000,{letter}f{count:06x}:200\r\n"
        );
        let daemon = daemons[count % daemons.len()].front;
        let record = Arc::clone(record);
        let answered = Arc::clone(&answered);
        clients.push(thread::spawn(move || {
            let request = Request {
                path: "/draft/1",
                attempt: &attempt,
                key: "key-club",
                deadline_ms: 12_000,
                headers: &headers,
                body: "",
            };
            let status = send(&record, daemon, &request);
            answered.fetch_add(usize::from(status == 200), Ordering::SeqCst);
        }));
        count += 1;
        sleep(PERIOD);
    }
    for client in clients {
        // A client that fails leaves its line in the record.
        let _ = client.join();
    }
    let answered = answered.load(Ordering::SeqCst);
    record.line(&format!(
        "{answered} of {count} requests answered with success; {} parts freed",
        caches.iter().map(|cache| cache.frees()).sum::<u64>()
    ));
    if answered < count / 2 {
        return Err(Error::other("too few requests were answered"));
    }
    Ok(())
}
