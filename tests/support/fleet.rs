//! Stand-ins and real entry processes for tests of the whole path.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use celerylever::document::digest_key;
use celerylever::settings::PeerSettings;
use celerylever_testkit::{
    Answer as ExpectedAnswer, Engine, EngineSettings, Service, ServiceSettings, Store,
    StoreSettings, prompt_text,
};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

#[path = "peers.rs"]
pub(crate) mod peers;

use peers::{Certificates, VALIDITY};

/// Key of customer `depots`.
pub(crate) const KEY: &str = "depots-key-0123456789";
/// Key of customer `merchants`, which has no models.
pub(crate) const OTHER_KEY: &str = "merchants-key-0123456789";
/// Longest wait for a process or a state, against hanging tests.
const WATCHDOG: Duration = Duration::from_secs(20);

/// Store, engines, a plain service and entries.
pub(crate) struct Fleet {
    pub(crate) store: Store,
    pub(crate) engines: Vec<Engine>,
    pub(crate) service: Service,
    pub(crate) entries: Vec<Entry>,
    pub(crate) client: HttpClient,
    pub(crate) settings: FleetSettings,
    pub(crate) certificates: Certificates,
    document_version: u64,
}

/// What a [`Fleet`] starts with.
#[derive(Clone)]
pub(crate) struct FleetSettings {
    pub(crate) engines: usize,
    pub(crate) entries: usize,
    pub(crate) engine: EngineSettings,
    pub(crate) repeatable: bool,
    pub(crate) rate_tokens_per_s: u64,
    pub(crate) burst_tokens: u64,
    /// Lines added to the section `[platform]` of the entries' settings.
    pub(crate) platform: String,
    /// Program of the entry, where not the one built for the tests.
    pub(crate) program: Option<PathBuf>,
    /// Whether the entries are linked to one another.
    pub(crate) peers: bool,
    /// Lines added to the entries' settings.
    pub(crate) extra: String,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            engines: 2,
            entries: 1,
            engine: EngineSettings::default(),
            repeatable: true,
            rate_tokens_per_s: 1_000_000_000,
            burst_tokens: 1_000_000_000,
            platform: String::new(),
            program: None,
            peers: false,
            extra: String::new(),
        }
    }
}

/// Real entry process.
pub(crate) struct Entry {
    pub(crate) process: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peer: Option<SocketAddr>,
    _settings: tempfile::NamedTempFile,
}

/// How one entry differs from the others.
#[derive(Default)]
pub(crate) struct EntrySettings {
    /// Store in place of the fleet's.
    pub(crate) store: Option<SocketAddr>,
    /// More lines of `[platform]`.
    pub(crate) platform: &'static str,
    /// Links to other VMs in place of the fleet's.
    pub(crate) peer: Option<PeerSettings>,
    /// Peers that it knows of; nothing stands for all entries of the fleet.
    pub(crate) hints: Option<Vec<SocketAddr>>,
}

/// Client of the tests.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

impl Fleet {
    pub(crate) async fn start(settings: FleetSettings) -> Self {
        let store = Store::start(StoreSettings::default()).await.unwrap();
        let service = Service::start(ServiceSettings::default()).await.unwrap();
        let mut engines = Vec::new();
        for _ in 0..settings.engines {
            engines.push(Engine::start(settings.engine.clone()).await.unwrap());
        }
        let mut fleet = Self {
            store,
            engines,
            service,
            entries: Vec::new(),
            client: Client::builder(TokioExecutor::new()).build_http(),
            settings,
            certificates: Certificates::new(),
            document_version: 0,
        };
        fleet.apply(&fleet.document()).await;
        for index in 0..fleet.settings.entries {
            let entry = fleet.start_entry(&format!("v{index}"));
            fleet.entries.push(entry);
        }
        for entry in &fleet.entries {
            fleet.wait_ready(entry).await;
        }
        fleet
    }

    /// Returns the document with all stand-ins in it.
    pub(crate) fn document(&self) -> String {
        let FleetSettings {
            rate_tokens_per_s,
            burst_tokens,
            repeatable,
            ..
        } = &self.settings;
        let mut text = format!(
            "[document]\nenvironment = test\n\
             [customer.depots]\nkey_digests = {}\nrate_tokens_per_s = {rate_tokens_per_s}\n\
             burst_tokens = {burst_tokens}\nweight = 1\nmodels = grade-note\n\
             [customer.merchants]\nkey_digests = {}\nrate_tokens_per_s = 1000\n\
             burst_tokens = 1000000\nweight = 1\nmodels = booking\n\
             [model.grade-note]\nweight_version = v1\ncontext_max_tokens = 200000\n\
             output_max_tokens = 100000\n\
             [model.booking]\nweight_version = v1\ncontext_max_tokens = 20000\n\
             output_max_tokens = 1000\n",
            digest_text(KEY),
            digest_text(OTHER_KEY),
        );
        for (index, engine) in self.engines.iter().enumerate() {
            text += &format!(
                "[upstream.engine-{index}]\naddress = {}\navailability_zone = a\nkind = engine\n\
                 models = grade-note, booking\nrepeatable = {repeatable}\nfencing = refuses\n\
                 credential = engine-credential\n",
                engine.address()
            );
        }
        let service = self.service.address();
        text + &format!(
            "[upstream.slots]\naddress = {service}\navailability_zone = a\n\
             kind = plain_service\nrepeatable = false\n\
             [route.slots]\npath_prefix = /slots\nupstreams = slots\naccess = key\n\
             cost_tokens = 1\n\
             [route.open]\npath_prefix = /open\nupstreams = slots\naccess = open\n"
        )
    }

    /// Stores a document and returns its version.
    pub(crate) async fn apply(&mut self, text: &str) -> u64 {
        let uri = format!(
            "http://{}/v1/objects/document/current",
            self.store.address()
        );
        let body = json!({
            "expected_version": self.document_version,
            "write_id": format!("write-{}", self.document_version),
            "value": text,
        });
        let request = Request::put(uri)
            .body(Full::from(body.to_string()))
            .unwrap();
        let answer = whole(self.client.request(request).await.unwrap()).await;
        let answer: Value = serde_json::from_str(&answer.text).unwrap();
        self.document_version = answer["version"].as_u64().unwrap();
        self.document_version
    }

    /// Stores a document and waits until every entry has it in force.
    pub(crate) async fn apply_everywhere(&mut self, text: &str) {
        let version = self.apply(text).await;
        let ready = format!("ready {version}\n");
        for entry in &self.entries {
            let in_force = async {
                loop {
                    let answer = self.get(entry.operators, "/readyz", None).await;
                    if answer.is_ok_and(|answer| answer.text == ready) {
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            tokio::time::timeout(WATCHDOG, in_force)
                .await
                .expect("the document is in force");
        }
    }

    /// Starts an entry on ports of the system's choice and waits until it listens.
    pub(crate) fn start_entry(&self, vm: &str) -> Entry {
        self.start_entry_with(vm, EntrySettings::default())
    }

    /// Starts an entry that differs from the others.
    pub(crate) fn start_entry_with(&self, vm: &str, entry: EntrySettings) -> Entry {
        let settings = tempfile::NamedTempFile::new().unwrap();
        let mut text = format!(
            "[process]\nvm = {vm}\navailability_zone = a\ncaller_address = 127.0.0.1:0\n\
             operator_address = 127.0.0.1:0\n\
             [platform]\nstore_address = {}\n{}{}\
             [drain]\npause_ms = 100\n{}",
            entry.store.unwrap_or(self.store.address()),
            self.settings.platform,
            entry.platform,
            self.settings.extra,
        );
        if self.settings.peers {
            let peer = entry.peer;
            let mut peer = peer.unwrap_or_else(|| self.certificates.issue(vm, VALIDITY));
            let known = || self.entries.iter().filter_map(|entry| entry.peer).collect();
            peer.hints = entry.hints.unwrap_or_else(known);
            text += &peer_section(&peer);
        }
        std::fs::write(settings.path(), text).unwrap();
        let program = self.settings.program.clone();
        let mut process = Command::new(program.unwrap_or_else(entry_program))
            .arg("--settings")
            .arg(settings.path())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(process.stderr.take().unwrap()).lines();
        let listening = log
            .by_ref()
            .map(|line| serde_json::from_str::<Value>(&line.unwrap()).unwrap())
            .find(|line| line["msg"] == "listening")
            .expect("the entry listens");
        let address = |field: &str| listening[field].as_str().unwrap().parse().unwrap();
        let (callers, operators) = (address("caller_address"), address("operator_address"));
        let peer = listening["peer_address"].as_str();
        let peer = peer.map(|address| address.parse().unwrap());
        std::thread::spawn(move || log.for_each(drop));
        Entry {
            process,
            callers,
            operators,
            peer,
            _settings: settings,
        }
    }

    /// Waits until an entry says that it is ready.
    pub(crate) async fn wait_ready(&self, entry: &Entry) {
        let ready = async {
            loop {
                let answer = self.get(entry.operators, "/readyz", None).await;
                if answer.is_ok_and(|answer| answer.status == 200) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(WATCHDOG, ready)
            .await
            .expect("the entry became ready");
    }

    /// Returns the version in force at an entry; nothing before the first.
    pub(crate) async fn version(&self, entry: &Entry) -> Option<u64> {
        let answer = self.get(entry.operators, "/readyz", None).await.ok()?;
        answer.text.trim().strip_prefix("ready ")?.parse().ok()
    }

    /// Waits until an entry has a version in force.
    pub(crate) async fn wait_version(&self, entry: &Entry, version: u64) {
        let reached = async {
            while self.version(entry).await != Some(version) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(WATCHDOG, reached)
            .await
            .expect("the version came into force");
    }

    /// Returns the sum of an entry's counters whose line contains a text.
    pub(crate) async fn counter(&self, entry: &Entry, text: &str) -> f64 {
        let answer = self.get(entry.operators, "/metrics", None).await.unwrap();
        let lines = answer.text.lines().filter(|line| line.contains(text));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        key: Option<&str>,
    ) -> Result<Answer, hyper_util::client::legacy::Error> {
        let request = request(address, Method::GET, path, key, Bytes::new());
        Ok(whole(self.client.request(request).await?).await)
    }

    /// Posts JSON to the first entry.
    pub(crate) async fn post(&self, path: &str, key: Option<&str>, body: &Value) -> Answer {
        let address = self.entries[0].callers;
        let request = request(address, Method::POST, path, key, body.to_string());
        whole(self.client.request(request).await.unwrap()).await
    }

    /// Returns the number of requests that any upstream has seen.
    pub(crate) fn upstream_requests(&self) -> usize {
        let engines: usize = self
            .engines
            .iter()
            .map(|engine| engine.requests().len())
            .sum();
        engines + self.service.requests().len()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Entry {
    /// Sends a signal by its name.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        let status = Command::new("kill")
            .args(["-s", name, &pid])
            .status()
            .unwrap();
        assert!(status.success());
    }
}

/// Waits until nothing listens on an address.
///
/// A process that is being started holds a copy of a closed listener for a moment.
pub(crate) async fn wait_closed(address: SocketAddr) {
    let closed = async {
        while tokio::net::TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WATCHDOG, closed)
        .await
        .expect("the listener is closed");
}

/// Answer read to its end.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) text: String,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap()
    }

    /// Returns number, name and outcome of an error body.
    pub(crate) fn refusal(&self) -> (u64, String, String) {
        let error = &self.json()["error"];
        let text = |field: &str| error[field].as_str().unwrap().to_owned();
        (error["code"].as_u64().unwrap(), text("name"), text("ran"))
    }
}

/// Builds a request.
pub(crate) fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    key: Option<&str>,
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    if let Some(key) = key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    request.body(Full::new(body.into())).unwrap()
}

/// Reads an answer to its end; one that breaks off keeps what came.
pub(crate) async fn whole(response: Response<Incoming>) -> Answer {
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
    }
    Answer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        text: String::from_utf8(bytes).unwrap(),
    }
}

/// Returns a chat request with a prompt of one message.
pub(crate) fn chat(prompt: &str, max_tokens: u64, stream: bool) -> Value {
    json!({
        "model": "grade-note",
        "stream": stream,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Returns the stream that an engine sends for a chat request.
pub(crate) fn expected_stream(body: &Value, id: &str) -> String {
    let answer = ExpectedAnswer::new(&prompt_text(body).unwrap());
    let tokens = body["max_tokens"].as_u64().unwrap();
    let mut text = String::new();
    for position in 0..tokens {
        let role = if position == 0 {
            r#""role":"assistant","#
        } else {
            ""
        };
        let finish = if position + 1 == tokens {
            r#""length""#
        } else {
            "null"
        };
        let token = answer.token(position);
        text += &format!(
            concat!(
                "id: {position}\ndata: {{\"id\":\"chatcmpl-{id}\",",
                "\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":\"grade-note\",",
                "\"choices\":[{{\"index\":0,\"delta\":{{{role}\"content\":\"{token}\"}},",
                "\"finish_reason\":{finish}}}]}}\n\n",
            ),
            position = position,
            id = id,
            role = role,
            token = token,
            finish = finish,
        );
    }
    text + "data: [DONE]\n\n"
}

/// Returns the program under test; an example finds it beside its own directory.
fn entry_program() -> std::path::PathBuf {
    match option_env!("CARGO_BIN_EXE_celerylever-entry") {
        Some(path) => path.into(),
        None => {
            let example = std::env::current_exe().unwrap();
            let directory = example.parent().and_then(std::path::Path::parent);
            directory.unwrap().join("celerylever-entry")
        }
    }
}

fn peer_section(peer: &PeerSettings) -> String {
    let path = |path: &Option<std::path::PathBuf>| path.as_ref().unwrap().display().to_string();
    let hints: Vec<String> = peer.hints.iter().map(ToString::to_string).collect();
    let mut text = format!(
        "[peer]\naddress = {}\nauthority = {}\ncertificate = {}\nkey = {}\n\
         heartbeat_ms = {}\n",
        peer.address.unwrap(),
        path(&peer.authority),
        path(&peer.certificate),
        path(&peer.key),
        peer.heartbeat_interval.as_millis(),
    );
    if !hints.is_empty() {
        text += &format!("hints = {}\n", hints.join(", "));
    }
    text
}

pub(crate) fn digest_text(key: &str) -> String {
    format!("sha256:{}", hex::encode(digest_key(key)))
}
