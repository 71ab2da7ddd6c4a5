//! Three of five stores of kept KV cache answer with bodies that do not end. The daemons, which read
//! their events, exceed their memory.

use crate::Context;
use crate::cache::CacheStore;
use crate::client::{HOST, Request, send};
use crate::daemons::Daemon;
use crate::plain::PlainServer;
use crate::store::Store;
use std::io::{Error, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const DAEMONS: usize = 4;
const STORES: usize = 5;
/// The first ones, the copies of one service, are in trouble.
const STORES_IN_TROUBLE: usize = 3;
const MEMORY_MB: u64 = 96;
const TROUBLE_AFTER: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(40);
const SAMPLE_PERIOD: Duration = Duration::from_millis(5);
/// Size of the clients' bodies; `maxBodyBytes` allows 4 MiB.
const BODY_BYTES: usize = 4_000_000;
const CLIENTS_PER_DAEMON: usize = 5;
/// Time that a server takes for a request.
const WORK: Duration = Duration::from_millis(2500);
const CLIENT_PAUSE: Duration = Duration::from_millis(500);
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
        r#"{{"version":1,"routes":[{{"name":"r-import","host":"{HOST}","pathPrefix":"/import/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":3000,"priority":2,"service":"desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{stores},{{"name":"desk","healthCheck":"/health","maxConnections":248,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"club","apiKeys":["key-club"],"priority":2}}]}}"#
    )
}

pub fn run(context: &Context) -> Result<()> {
    let record = &context.record;
    let (store, store_address) = Store::start()?;
    let caches: Vec<Arc<CacheStore>> = (0..STORES)
        .map(|_| CacheStore::start(record, 280_000.0, 35_136))
        .collect::<Result<_>>()?;
    store.write("keyed.op", "config", &configuration(&caches));
    for index in 0..3 {
        let id = format!("i-{index}");
        PlainServer::start(record, &store, &id, "desk", WORK)?;
    }
    let mut daemons: Vec<Daemon> = (1..=DAEMONS)
        .map(|number| {
            let name = format!("front-{number}");
            Daemon::start(record, &context.folder, &name, store_address, MEMORY_MB)
        })
        .collect::<Result<_>>()?;
    sleep(Duration::from_secs(2));

    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicUsize::new(0));
    let answered = Arc::new(AtomicUsize::new(0));
    let body = Arc::new("x".repeat(BODY_BYTES));
    let mut clients = Vec::new();
    for client in 0..DAEMONS * CLIENTS_PER_DAEMON {
        let front = daemons[client % DAEMONS].front;
        let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
        let (sent, answered) = (Arc::clone(&sent), Arc::clone(&answered));
        let body = Arc::clone(&body);
        clients.push(thread::spawn(move || {
            for count in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                sent.fetch_add(1, Ordering::SeqCst);
                let request = Request {
                    path: "/import/1",
                    attempt: &format!("c{client}-{count}"),
                    key: "key-club",
                    deadline_ms: 5_000,
                    headers: "",
                    body: &body,
                };
                let status = send(&record, front, &request);
                answered.fetch_add(usize::from(status == 200), Ordering::SeqCst);
                if status != 200 {
                    sleep(CLIENT_PAUSE);
                }
            }
        }));
    }

    let mut ends = [0; DAEMONS];
    let started_at = Instant::now();
    let mut is_in_trouble = false;
    while started_at.elapsed() < LENGTH {
        if context.has_trouble && !is_in_trouble && started_at.elapsed() >= TROUBLE_AFTER {
            is_in_trouble = true;
            for cache in &caches[..STORES_IN_TROUBLE] {
                cache.begin_trouble();
                let address = cache.address;
                record.line(&format!(
                    "store {address} sends bodies without end from now on"
                ));
            }
        }
        for (daemon, ends) in daemons.iter_mut().zip(&mut ends) {
            *ends += usize::from(daemon.enforce_memory_limit(MEMORY_MB)?);
        }
        sleep(SAMPLE_PERIOD);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        // A client that fails leaves its line in the record.
        let _ = client.join();
    }
    let (sent, answered) = (sent.load(Ordering::SeqCst), answered.load(Ordering::SeqCst));
    record.line(&format!(
        "{answered} of {sent} requests answered with success; ends by machine: {ends:?}"
    ));
    let peaks: Vec<u64> = daemons.iter().map(Daemon::peak_kb).collect();
    record.line(&format!("largest memory by machine, kB: {peaks:?}"));
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
