//! Stand-in of the platform's metadata store: a log with topics, keyed topics and groups.

use crate::http::{Connection, Message, serve};
use crate::json::Json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<Vec<u8>>>,
    groups: BTreeMap<String, Group>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    /// Topics with their partitions, as the members named them.
    topics: Vec<String>,
    members: BTreeMap<String, Instant>,
}

const PARTITIONS: usize = 12;

impl Group {
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, until| *until > now);
        if self.members.len() != before {
            self.generation += 1;
        }
    }

    /// Rows of topic, partition and member, evenly distributed.
    fn rows(&self) -> Vec<(&str, usize, &str)> {
        let members: Vec<&str> = self.members.keys().map(String::as_str).collect();
        if members.is_empty() {
            return Vec::new();
        }
        let mut rows = Vec::new();
        for topic in &self.topics {
            for partition in 0..PARTITIONS {
                let member = members[rows.len() % members.len()];
                rows.push((topic.as_str(), partition, member));
            }
        }
        rows
    }
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let served = Arc::clone(&store);
        serve(listener, move |connection| served.serve(connection));
        Ok((store, address))
    }

    /// Writes the newest record of a key, as the operator and the servers do. The return is the
    /// acknowledgement. An empty value removes the key.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.state.lock().expect("store");
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        self.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            let (status, body) = self.call(&request);
            let headers = "Content-Type: application/json\r\n";
            if connection.answer(status, headers, &body).is_err() {
                return;
            }
        }
    }

    fn call(&self, request: &Message) -> (u16, Vec<u8>) {
        match request.path() {
            "/api/log-append" => self.append(request),
            "/api/log-read" => self.read(request),
            "/api/log-newest" => self.newest(request),
            "/api/log-join" => self.join(request),
            "/api/log-leave" => self.leave(request),
            "/api/log-owners" => self.owners(request),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        if ["keyed.op", "keyed.servers"].contains(&topic) {
            return (403, Vec::new());
        }
        let mut state = self.state.lock().expect("store");
        let records = state.topics.entry(topic.to_owned()).or_default();
        let end = records.len();
        if let Some(at) = request.query("at")
            && at.parse() != Ok(end)
        {
            return (412, format!(r#"{{"end":{end}}}"#).into_bytes());
        }
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let (length, tail) = rest.split_at(4);
            let length = u32::from_be_bytes(length.try_into().expect("four bytes")) as usize;
            records.push(tail[..length].to_vec());
            rest = &tail[length..];
        }
        let new_end = records.len();
        self.changed.notify_all();
        let body = format!(r#"{{"offset":{end},"end":{new_end}}}"#);
        (200, body.into_bytes())
    }

    fn read(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        let number = |name| request.query(name).and_then(|value| value.parse().ok());
        let from: usize = number("from").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
        let until = Instant::now() + wait;
        let mut state = self.state.lock().expect("store");
        loop {
            let end = state.topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).expect("store").0;
        }
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        (200, body)
    }

    fn newest(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        let state = self.state.lock().expect("store");
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(String::from_utf8_lossy(key).into_owned(), (value, offset));
        }
        let items: Vec<String> = newest
            .into_iter()
            .filter(|(_, (value, _))| !value.is_empty())
            .map(|(key, (value, offset))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let body = format!(
            r#"{{"items":[{}],"hasMore":false,"end":{}}}"#,
            items.join(","),
            records.len()
        );
        (200, body.into_bytes())
    }

    fn join(&self, request: &Message) -> (u16, Vec<u8>) {
        let Some(body) = Json::parse(&request.text()) else {
            return (400, Vec::new());
        };
        let text = |name| body.get(name).and_then(Json::text).unwrap_or_default();
        let ttl = body.get("ttlMs").and_then(Json::number).unwrap_or(3000);
        let member = text("member").to_owned();
        let mut state = self.state.lock().expect("store");
        let group = state.groups.entry(text("group").to_owned()).or_default();
        group.expire();
        if group.topics.is_empty() {
            let topics = body.get("topics").map_or(&[][..], Json::list);
            group.topics = topics
                .iter()
                .filter_map(Json::text)
                .map(str::to_owned)
                .collect();
        }
        let until = Instant::now() + Duration::from_millis(ttl);
        if group.members.insert(member.clone(), until).is_none() {
            group.generation += 1;
        }
        let rows = group.rows();
        let own = rows.iter().filter(|(_, _, owner)| *owner == member);
        let parts: Vec<String> = own
            .map(|(topic, partition, _)| format!(r#"["{topic}",{partition},0]"#))
            .collect();
        let body = format!(
            r#"{{"generation":{},"ttlMs":{ttl},"parts":[{}]}}"#,
            group.generation,
            parts.join(",")
        );
        (200, body.into_bytes())
    }

    fn leave(&self, request: &Message) -> (u16, Vec<u8>) {
        let Some(body) = Json::parse(&request.text()) else {
            return (400, Vec::new());
        };
        let text = |name| body.get(name).and_then(Json::text).unwrap_or_default();
        let mut state = self.state.lock().expect("store");
        let group = state.groups.entry(text("group").to_owned()).or_default();
        if group.members.remove(text("member")).is_some() {
            group.generation += 1;
        }
        (200, b"{}".to_vec())
    }

    fn owners(&self, request: &Message) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().expect("store");
        let name = request.query("group").unwrap_or_default().to_owned();
        let group = state.groups.entry(name).or_default();
        group.expire();
        let rows = group.rows();
        let rows: Vec<String> = rows
            .iter()
            .map(|(topic, partition, member)| format!(r#"["{topic}",{partition},"{member}",0]"#))
            .collect();
        (
            200,
            format!(r#"{{"parts":[{}]}}"#, rows.join(",")).into_bytes(),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [
            chunk[0],
            chunk.get(1).copied().unwrap_or(0),
            chunk.get(2).copied().unwrap_or(0),
        ];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = (bits >> (18 - 6 * index)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
