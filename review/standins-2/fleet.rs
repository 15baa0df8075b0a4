//! A small installation: store, engines and gateways.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::caller::config;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::store::Store;

/// Memory of a machine.
const MEMORY_MB: u64 = 260;

pub struct Fleet {
    pub store: Store,
    pub engines: Vec<Engine>,
    pub gateways: Vec<Gateway>,
}

impl Fleet {
    /// Starts engines of the service `notes`, then gateways in two zones, and waits until all are
    /// ready and know each other.
    pub fn start(
        folder: &Path,
        software: &[&str],
        stream: (u64, Duration),
        gateways: usize,
    ) -> Result<Self, String> {
        Self::start_with_memory(folder, software, stream, gateways, MEMORY_MB)
    }

    pub fn start_with_memory(
        folder: &Path,
        software: &[&str],
        stream: (u64, Duration),
        gateways: usize,
        memory_mb: u64,
    ) -> Result<Self, String> {
        let problem = |error: std::io::Error| error.to_string();
        let store = Store::start().map_err(problem)?;
        let mut engines = Vec::new();
        for (number, software) in software.iter().enumerate() {
            let id = format!("i-{number}");
            let engine = Engine::start(&id, "notes", "a", software, stream).map_err(problem)?;
            store.put("servers", &id, engine.entry());
            engines.push(engine);
        }
        store.put("config", "main", config(1));
        let model = r#"{"Model":"m","Version":1}"#;
        store.put("versions", "m", crate::json::Json::parse(model));
        let mut started = Vec::new();
        for number in 0..gateways {
            let zone = ["a", "b"][number % 2];
            let mut gateway =
                Gateway::new(folder, number, zone, store.address, memory_mb).map_err(problem)?;
            gateway.start().map_err(problem)?;
            started.push(gateway);
        }
        let fleet = Self {
            store,
            engines,
            gateways: started,
        };
        fleet.wait_ready()?;
        std::thread::sleep(Duration::from_secs(5));
        Ok(fleet)
    }

    pub fn wait_ready(&self) -> Result<(), String> {
        let is_ready = |gateway: &Gateway| gateway.wait_ready(Duration::from_secs(10));
        match self.gateways.iter().all(is_ready) {
            true => Ok(()),
            false => Err("a gateway is not ready".into()),
        }
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.gateways
            .iter()
            .map(|gateway| gateway.callers)
            .collect()
    }
}
