//! Runs one stand-in until it is stopped.

use std::io::{self, Write};
use std::net::SocketAddr;

use celerylever_testkit::{Engine, Load, Service, Store};
use clap::{Args, Parser};
use serde::de::DeserializeOwned;

/// Stand-ins for the systems around celerylever
#[derive(Debug)]
#[derive(Parser)]
#[command(version)]
enum Cli {
    /// Platform store
    Store(Options),
    /// Model engine
    Engine(Options),
    /// Plain service
    Service(Options),
    /// Callers' load; prints its report as JSON
    Load(Options),
}

#[derive(Debug)]
#[derive(Args)]
struct Options {
    /// Address to listen on, or of the entry that the load goes to
    #[arg(long)]
    address: Option<SocketAddr>,
    /// Settings by name, as a JSON object
    #[arg(long, default_value = "{}")]
    settings: String,
}

impl Options {
    fn parse<T: DeserializeOwned>(&self, address_key: &str) -> io::Result<T> {
        let mut settings: serde_json::Map<_, _> = serde_json::from_str(&self.settings)?;
        match self.address {
            Some(address) if address_key == "entries" => {
                settings.insert(address_key.to_owned(), vec![address.to_string()].into());
            }
            Some(address) => {
                settings.insert(address_key.to_owned(), address.to_string().into());
            }
            None => {}
        }
        Ok(serde_json::from_value(settings.into())?)
    }
}

#[tokio::main]
async fn main() -> io::Result<()> {
    match Cli::parse() {
        Cli::Store(options) => {
            let store = Store::start(options.parse("address")?).await?;
            until_stopped(store.address()).await
        }
        Cli::Engine(options) => {
            let engine = Engine::start(options.parse("address")?).await?;
            until_stopped(engine.address()).await
        }
        Cli::Service(options) => {
            let service = Service::start(options.parse("address")?).await?;
            until_stopped(service.address()).await
        }
        Cli::Load(options) => {
            let report = Load::run(options.parse("entries")?).await;
            writeln!(io::stdout(), "{}", serde_json::to_string_pretty(&report)?)
        }
    }
}

async fn until_stopped(address: SocketAddr) -> io::Result<()> {
    writeln!(io::stdout(), "listening on {address}")?;
    let mut terminated = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminated.recv() => Ok(()),
        interrupted = tokio::signal::ctrl_c() => interrupted,
    }
}
