//! The configuration takes the last tenant away. Requests with its withdrawn key, and with a key that
//! no configuration ever held, run.

use crate::Context;
use crate::client::{HOST, Request, send};
use crate::daemons::Daemon;
use crate::plain::PlainServer;
use crate::store::Store;
use std::io::{Error, Result};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const SERVERS: usize = 3;
const WORK: Duration = Duration::from_millis(15);
const PERIOD: Duration = Duration::from_millis(100);
/// `revokeMs` of the settings, and some more.
const WITHDRAWN: Duration = Duration::from_millis(5000 + 1000);
const ROUNDS: usize = 50;
/// The key of the last tenant, and one that no configuration holds.
const HELD_KEY: &str = "key-club";
const UNKNOWN_KEY: &str = "key-of-nobody";

fn configuration(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-book","host":"{HOST}","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"desk","healthCheck":"/health","maxConnections":248,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#
    )
}

pub fn run(context: &Context) -> Result<()> {
    let record = &context.record;
    let (store, store_address) = Store::start()?;
    let tenant = format!(r#"{{"name":"club","apiKeys":["{HELD_KEY}"],"priority":2}}"#);
    store.write("keyed.op", "config", &configuration(1, &tenant));
    let servers: Vec<Arc<PlainServer>> = (0..SERVERS)
        .map(|index| PlainServer::start(record, &store, &format!("i-{index}"), "desk", WORK))
        .collect::<Result<_>>()?;
    let daemons = [
        Daemon::start(record, &context.folder, "front-1", store_address, 96)?,
        Daemon::start(record, &context.folder, "front-2", store_address, 96)?,
    ];
    sleep(Duration::from_secs(2));
    let ask = |attempt: &str, key: &str, index: usize| {
        let request = Request {
            path: "/book/1",
            attempt,
            key,
            deadline_ms: 1_500,
            headers: "",
            body: "lamp 4 on",
        };
        let front = daemons[index % daemons.len()].front;
        let status = send(record, front, &request);
        let has_run = servers.iter().any(|server| server.has_run(attempt));
        (status, has_run)
    };

    let mut answered = 0;
    for round in 0..ROUNDS {
        let (status, _) = ask(&format!("held-{round}"), HELD_KEY, round);
        answered += usize::from(status == 200);
        let attempt = format!("unknown-{round}");
        if ask(&attempt, UNKNOWN_KEY, round).1 {
            record.broken(
                "ROUTE",
                &format!("{attempt} ran with a key that was never held"),
            );
        }
        sleep(PERIOD);
    }
    if context.has_trouble {
        store.write("keyed.op", "config", &configuration(2, ""));
        record.line("operator: version 2 takes the last tenant away; acknowledged");
    }
    sleep(WITHDRAWN);
    for round in ROUNDS..2 * ROUNDS {
        let attempt = format!("held-{round}");
        let (status, has_run) = ask(&attempt, HELD_KEY, round);
        answered += usize::from(status == 200 && !context.has_trouble);
        if context.has_trouble && has_run {
            let text = format!("{attempt} ran with a key that was taken away");
            record.broken("CONFIG", &text);
        }
        let attempt = format!("unknown-{round}");
        if ask(&attempt, UNKNOWN_KEY, round).1 {
            record.broken(
                "ROUTE",
                &format!("{attempt} ran with a key that was never held"),
            );
        }
        sleep(PERIOD);
    }
    record.line(&format!(
        "{answered} requests answered with success as they should"
    ));
    if answered < ROUNDS - 2 {
        return Err(Error::other("too few requests were answered"));
    }
    Ok(())
}
