//! The configuration makes a tenant isolated that was not. Later requests of other tenants use what
//! its earlier requests left in the caches.

use crate::Context;
use crate::cache::CacheStore;
use crate::client::{HOST, Request, send};
use crate::daemons::Daemon;
use crate::engine::{Engine, World};
use crate::store::Store;
use std::io::{Error, Result};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const MODEL: &str = "model-a";
const PARTS: usize = 6;
/// `configApplyMs` and `contactMs` of the settings, and some more.
const IN_FORCE: Duration = Duration::from_millis(2000 + 3000 + 1000);

fn configuration(version: u64, is_tenant_isolated: bool, cache: &CacheStore) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-draft","host":"{HOST}","pathPrefix":"/draft/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":600,"priority":2,"service":"lm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":400}}],"services":[{{"name":"kv-a","kvStoreAddr":"{}","zone":"za","kvCapacityTokens":{},"linkMbps":{:.1},"maxInflight":12,"managed":true,"first_ms":{}}},{{"name":"lm","healthCheck":"/health","maxConnections":832,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":16.0,"engine":{{"slots":64,"kvCapacityTokens":131659,"kvBytes":35136,"linkMbps":1500000.0,"moves":true,"backups":true,"managed":true,"stride":7,"maxInflight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"{MODEL}"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"harbour","apiKeys":["key-harbour"],"priority":2,"isolated":{is_tenant_isolated}}},{{"name":"club","apiKeys":["key-club"],"priority":2,"isolated":false}},{{"name":"vault","apiKeys":["key-vault"],"priority":2,"isolated":true}}]}}"#,
        cache.address, cache.capacity_tokens, cache.link_mbps, cache.first_ms
    )
}

/// Sends one request for each shared part, by both daemons in turn. Returns how many were answered
/// with success.
fn send_round(context: &Context, daemons: &[Daemon], tenant: &str, round: usize) -> usize {
    let mut answered = 0;
    for part in 0..PARTS {
        let attempt = format!("{tenant}-{round}-{part}");
        let headers = format!(
            "Model: {MODEL}\r\nToken-Count: 2300,8\r\n\
             Prompt-Prefix: 5c1e0{part}:2000,91bd{round}{part}:300\r\n"
        );
        let request = Request {
            path: "/draft/1",
            attempt: &attempt,
            key: &format!("key-{tenant}"),
            deadline_ms: 12_000,
            headers: &headers,
            body: "",
        };
        let daemon = &daemons[(part + round) % daemons.len()];
        let status = send(&context.record, daemon.front, &request);
        answered += usize::from(status == 200);
        sleep(Duration::from_millis(50));
    }
    answered
}

pub fn run(context: &Context) -> Result<()> {
    let record = &context.record;
    let (store, store_address) = Store::start()?;
    let cache = CacheStore::start(record, 280_000.0, 35_136)?;
    let world = World::new(
        Arc::clone(record),
        Arc::clone(&store),
        vec![Arc::clone(&cache)],
    );
    world.isolation.add("vault");
    store.write("keyed.op", "config", &configuration(1, false, &cache));
    let mut engines = Vec::new();
    for index in 0..3 {
        let id = format!("i-{index}");
        engines.push(Engine::start(&world, &id, "lm", &[MODEL], 131_659)?);
    }
    let daemons = [
        Daemon::start(record, &context.folder, "front-1", store_address, 96)?,
        Daemon::start(record, &context.folder, "front-2", store_address, 96)?,
    ];
    sleep(Duration::from_secs(3));
    let mut answered = 0;
    for round in 0..2 {
        answered += send_round(context, &daemons, "harbour", round);
        answered += send_round(context, &daemons, "vault", round);
    }
    if context.has_trouble {
        store.write("keyed.op", "config", &configuration(2, true, &cache));
        record.line("operator: version 2 makes tenant harbour isolated; acknowledged");
    }
    sleep(IN_FORCE);
    if context.has_trouble {
        world.isolation.add("harbour");
        record.line("version 2 is in force everywhere; requests from now on are judged by it");
    }
    for round in 2..4 {
        answered += send_round(context, &daemons, "club", round);
        answered += send_round(context, &daemons, "harbour", round);
        answered += send_round(context, &daemons, "vault", round);
    }
    record.line(&format!("{answered} requests answered with success"));
    if answered < PARTS * 8 {
        return Err(Error::other("too few requests were answered"));
    }
    Ok(())
}
