//! A new version of the configuration isolates a tenant whose prompts engines have cached.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::deployment::{config, customer};
use crate::engine::{chunk, event, head};
use crate::record::Record;
use crate::{Deployment, Setting, Verdict, engine, http};

/// `ConfigApplyMs`, and a second.
const IN_FORCE: Duration = Duration::from_millis(3_000);

/// Parts by the text under which they are cached and their id, with the tenant that made them.
type Cache = Arc<Mutex<HashMap<(String, String), String>>>;

/// Starts an engine that records whose parts its requests use; returns its address and uses.
pub fn caching_engine(id: &'static str, record: &Record) -> (String, Arc<Mutex<Vec<Use>>>) {
    let (cache, uses): (Cache, Arc<Mutex<Vec<Use>>>) = Default::default();
    let (seen, record) = (uses.clone(), record.clone());
    let address = engine::start(id, move |request, stream| {
        let tenant = request.header("tenant").unwrap_or_default().to_owned();
        let salt = request.header("cache-salt").unwrap_or_default().to_owned();
        let request_id = request.header("request-id").unwrap_or_default();
        record.line(format!(
            "engine {id} runs {request_id} of {tenant}, Cache-Salt {salt:?}"
        ));
        let parts = request.header("prefix-hash").unwrap_or_default().to_owned();
        let mut is_found = true;
        for part in parts.split(',').filter_map(|part| part.split(':').next()) {
            let mut cache = cache.lock().unwrap();
            let key = (salt.clone(), part.to_owned());
            // A part is found if all before it are.
            match cache.get(&key).filter(|_| is_found) {
                Some(maker) => {
                    record.line(format!("{request_id} uses part {part}, made by {maker}"));
                    seen.lock().unwrap().push(Use {
                        user: tenant.clone(),
                        maker: maker.clone(),
                    });
                }
                None => {
                    is_found = false;
                    cache.insert(key, tenant.clone());
                }
            }
        }
        let head = head(request, "text/event-stream");
        let text = format!(
            "{head}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
            chunk(&event(1))
        );
        std::io::Write::write_all(stream, text.as_bytes()).map(|()| true)
    });
    (address.to_string(), uses)
}

/// Use of a cached part.
#[derive(Debug, Clone)]
pub struct Use {
    pub user: String,
    pub maker: String,
}

/// Sends a request of a tenant; returns whether it was served.
pub fn serve_one(
    deployment: &Deployment,
    record: &Record,
    tenant: &str,
    id: &str,
    has_count: bool,
) -> bool {
    let key = format!("Bearer key-{tenant}");
    let prefix = format!("aa:500,bb:300,{id}:100");
    let mut headers = vec![
        ("Host", "depot.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "12000"),
        ("Authorization", key.as_str()),
        ("Model", "m0"),
        ("Prefix-Hash", prefix.as_str()),
    ];
    if has_count {
        headers.push(("Token-Count", "900,45"));
    }
    record.line(format!("caller of tenant {tenant} sends {id}"));
    let to = deployment.gateway.callers;
    let answer = http::send(to, "POST", "/check/a", &headers, b"sheet");
    let status = answer.map(|mut answer| (answer.status, answer.rest(), answer.is_complete));
    record.line(format!("caller of {id} gets {status:?}"));
    matches!(status, Ok((200, _, true)))
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let (address, uses) = caching_engine("i-1", record);
    let customers = |is_isolated| {
        let both = [customer("mill", is_isolated), customer("depot", false)];
        both.join(",")
    };
    let engines = [("i-1", address)];
    let Some(deployment) = Deployment::start(setting, &customers(false), &engines) else {
        return Verdict::NotRun("the gateway did not start");
    };
    if !serve_one(&deployment, record, "mill", "e1", true) {
        return Verdict::NotRun("the first request was not served");
    }
    let is_isolated = setting.has_trouble;
    record.line(format!(
        "the store accepts version 2; Isolated of mill: {is_isolated}"
    ));
    let config = config(2, &customers(is_isolated));
    deployment.store.put("config", "main", &config);
    std::thread::sleep(IN_FORCE);
    if !serve_one(&deployment, record, "depot", "e2", true) {
        return Verdict::NotRun("the second request was not served");
    }
    let uses = uses.lock().unwrap();
    let foreign = uses.iter().filter(|one| one.user != one.maker).count();
    record.line(format!("parts used that another tenant made: {foreign}"));
    match is_isolated && foreign > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
