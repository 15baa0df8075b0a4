//! Handle to a running engine.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;

use super::state::State;
use super::{EngineSettings, EngineTotals};
use crate::fault::lock;
use crate::http::{SeenRequest, Server, server_methods};

/// Model engine in this process.
pub struct Engine {
    server: Server,
    state: Arc<State>,
}

server_methods!(Engine);

impl Engine {
    /// Starts an engine with an empty cache.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        let address = settings.address;
        let state = Arc::new(State::new(settings));
        let server = Server::start(address, state.faults.clone(), state.clone()).await?;
        Ok(Self { server, state })
    }

    /// Returns the number that changes with each start.
    pub fn incarnation(&self) -> u64 {
        lock(&self.state.inner).incarnation
    }

    /// Returns how often each request id was started.
    pub fn runs(&self) -> HashMap<String, u64> {
        lock(&self.state.inner).runs.clone()
    }

    /// Returns the last completion requests that arrived, refused ones included.
    pub fn requests(&self) -> Vec<SeenRequest> {
        lock(&self.state.inner).requests.iter().cloned().collect()
    }

    /// Returns what the engine did so far.
    pub fn totals(&self) -> EngineTotals {
        lock(&self.state.inner).totals
    }
}
