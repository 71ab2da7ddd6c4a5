//! A store of kept KV cache answers with bodies that do not end. Daemons that read its events exceed
//! their memory.

use crate::Context;
use crate::cache::CacheStore;
use crate::client::{HOST, Request, send};
use crate::daemons::Daemon;
use crate::engine::{Engine, World};
use crate::store::Store;
use std::io::{Error, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const MODEL: &str = "model-a";
const DAEMONS: usize = 4;
/// Stores of one service, which are in trouble together, and those of another one.
const STORES_IN_TROUBLE: usize = 3;
const OTHER_STORES: usize = 2;
const MEMORY_MB: u64 = 96;
const TROUBLE_AFTER: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(40);
const SAMPLE_PERIOD: Duration = Duration::from_millis(5);
const REQUEST_PERIOD: Duration = Duration::from_millis(250);
/// Ends of a process by itself, and machines with so many, from which on the rule is broken.
const ENDS: usize = 3;
const MACHINES: usize = 2;

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
        r#"{{"version":1,"routes":[{{"name":"r-draft","host":"{HOST}","pathPrefix":"/draft/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":600,"priority":2,"service":"lm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":400}}],"services":[{stores},{{"name":"lm","healthCheck":"/health","maxConnections":832,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":16.0,"engine":{{"slots":64,"kvCapacityTokens":131659,"kvBytes":35136,"linkMbps":1500000.0,"moves":true,"backups":true,"managed":true,"stride":7,"maxInflight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"{MODEL}"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"club","apiKeys":["key-club"],"priority":2}}]}}"#
    )
}

pub fn run(context: &Context) -> Result<()> {
    let record = &context.record;
    let (store, store_address) = Store::start()?;
    let caches: Vec<Arc<CacheStore>> = (0..STORES_IN_TROUBLE + OTHER_STORES)
        .map(|_| CacheStore::start(record, 280_000.0, 35_136))
        .collect::<Result<_>>()?;
    let world = World::new(Arc::clone(record), Arc::clone(&store), caches.clone());
    store.write("keyed.op", "config", &configuration(&caches));
    let mut engines = Vec::new();
    for index in 0..2 {
        let id = format!("i-{index}");
        engines.push(Engine::start(&world, &id, "lm", &[MODEL], 131_659)?);
    }
    let mut daemons: Vec<Daemon> = (1..=DAEMONS)
        .map(|number| {
            let name = format!("front-{number}");
            Daemon::start(record, &context.folder, &name, store_address, MEMORY_MB)
        })
        .collect::<Result<_>>()?;
    sleep(Duration::from_secs(2));

    let is_over = Arc::new(AtomicBool::new(false));
    let counts = [0, 1].map(|_| Arc::new(AtomicUsize::new(0)));
    let client = {
        let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
        let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
        let [sent, answered] = counts.clone();
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let count = sent.fetch_add(1, Ordering::SeqCst);
                let attempt = format!("a-{count}");
                let headers = format!(
                    "Model: {MODEL}\r\nToken-Count: 700,8\r\nPrompt-Prefix: aa{:02x}:500,cc{count:04x}:200\r\n",
                    count % 20
                );
                let request = Request {
                    path: "/draft/1",
                    attempt: &attempt,
                    key: "key-club",
                    deadline_ms: 3_000,
                    headers: &headers,
                    body: "",
                };
                let status = send(&record, fronts[count % fronts.len()], &request);
                answered.fetch_add(usize::from(status == 200), Ordering::SeqCst);
                sleep(REQUEST_PERIOD);
            }
        })
    };

    let mut ends = [0; DAEMONS];
    let started_at = Instant::now();
    let mut is_in_trouble = false;
    while started_at.elapsed() < LENGTH {
        if context.has_trouble && !is_in_trouble && started_at.elapsed() >= TROUBLE_AFTER {
            is_in_trouble = true;
            for cache in &caches[..STORES_IN_TROUBLE] {
                cache.begin_trouble();
            }
            record.line("the stores of one service send bodies without end from now on");
        }
        for (daemon, ends) in daemons.iter_mut().zip(&mut ends) {
            *ends += usize::from(daemon.enforce_memory_limit(MEMORY_MB)?);
        }
        sleep(SAMPLE_PERIOD);
    }
    is_over.store(true, Ordering::SeqCst);
    // A client that fails leaves its line in the record.
    let _ = client.join();
    let [sent, answered] = counts.map(|count| count.load(Ordering::SeqCst));
    record.line(&format!(
        "{answered} of {sent} requests answered with success; ends by machine: {ends:?}"
    ));
    if ends.iter().filter(|ends| **ends >= ENDS).count() >= MACHINES {
        record.broken(
            "Fault",
            &format!("processes exceeded their memory {ends:?} times on {DAEMONS} machines"),
        );
    }
    if !context.has_trouble && answered < sent / 2 {
        return Err(Error::other("too few requests were answered"));
    }
    Ok(())
}
