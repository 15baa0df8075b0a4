//! News of loads that VMs tell each other.
//!
//! Load pattern: a plain upstream that is slow for fractions of a second, of which each VM hears by
//! its own responses once or twice a second. The first response that shows a change is told to all
//! VMs. Figures that differ little are not told, so that messages grow with the changes.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::announced::AnnouncedServerLoad;
use crate::error::Code;
use crate::gateway::datagram::{Message, send_to_all};
use crate::gateway::event_log::LogEvent;
use crate::gateway::process_hash::{ProcessHash, hash_process};
use crate::gateway::state::Gateway;
use crate::gateway::upstream_registry::UpstreamInstance;

/// Minimum time between two messages of a VM with news of loads.
const NEWS_INTERVAL_MIN: Duration = Duration::from_millis(50);
/// Age from which a load is not worth a message.
const NEWS_AGE_MAX: Duration = Duration::from_millis(500);

/// Load that an upstream announced to one VM, in a message.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(in crate::gateway) struct LoadNews {
    process: ProcessHash,
    running: u32,
    waiting: u32,
    slots: u32,
    slowness_percent: f32,
    age_ms: u32,
}

impl LoadNews {
    /// Creates the news of a load; `None` if the upstream does not announce its slowness.
    fn new(process: ProcessHash, load: AnnouncedServerLoad, age: Duration) -> Option<Self> {
        Some(Self {
            process,
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            slowness_percent: (load.slowness? * 100.0) as f32,
            age_ms: age.as_millis() as u32,
        })
    }

    /// Returns the load, or `None` if it is implausible.
    fn load(&self) -> Option<AnnouncedServerLoad> {
        let slowness_percent = Some(f64::from(self.slowness_percent));
        AnnouncedServerLoad::new(self.running, self.waiting, self.slots, slowness_percent)
    }
}

/// Sends news of loads as they arise, until dropped.
pub(in crate::gateway) async fn send_load_news(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut round = 0;
    loop {
        gateway.load_news_due.notified().await;
        send_waiting_news(&gateway, &socket, round);
        round += 1;
        tokio::time::sleep(NEWS_INTERVAL_MIN).await;
    }
}

fn send_waiting_news(gateway: &Gateway, socket: &UdpSocket, round: u64) {
    let now = gateway.now();
    let mut state = gateway.state();
    let news = state.load_outbox.take().into_iter().filter_map(|process| {
        let mut upstreams = state.upstreams.iter();
        let upstream = upstreams.find(|upstream| hash_process(&upstream.instance) == process)?;
        let (load, at) = upstream.load_record.latest_with_time()?;
        let age = now.saturating_sub(at);
        LoadNews::new(process, load, age).filter(|_| age < NEWS_AGE_MAX)
    });
    let news: Vec<LoadNews> = news.collect();
    let own_address = gateway.settings.peer_address;
    let addresses = state.peers.news_receivers(own_address, round, now);
    if !state.load_outbox.is_empty() {
        gateway.load_news_due.notify_one();
    }
    drop(state);
    if !news.is_empty() {
        send_to_all(gateway, socket, &Message::LoadNews(news), &addresses);
        gateway.metrics.count_load_news("sent");
    }
}

impl Gateway {
    /// Applies loads that another VM tells of; a zone's representative tells what it did not know.
    pub(in crate::gateway) fn apply_load_news(&self, news: &[LoadNews]) {
        self.metrics.count_load_news("received");
        let now = self.now();
        let mut state = self.state();
        let forwards = state.peers.is_zone_representative(now);
        let known: Vec<(ProcessHash, UpstreamInstance)> = state
            .upstreams
            .iter()
            .map(|upstream| (hash_process(&upstream.instance), upstream))
            .filter(|(process, _)| news.iter().any(|item| item.process == *process))
            .map(|(process, upstream)| (process, upstream.instance.clone()))
            .collect();
        for item in news {
            let instance = known.iter().find(|(process, _)| *process == item.process);
            let upstream =
                instance.and_then(|(_, instance)| state.upstreams.instance_mut(instance));
            let Some(upstream) = upstream else {
                continue;
            };
            let Some(load) = item.load() else {
                if upstream.load_record.record_unreadable() {
                    self.event_log.log(&LogEvent::ServerLoadUnreadable {
                        code: Code::HeaderInvalid.number(),
                        upstream: &upstream.instance.id,
                        value: "told by another VM",
                    });
                }
                continue;
            };
            let at = now.saturating_sub(Duration::from_millis(item.age_ms.into()));
            let is_news = upstream.load_record.record_told(load, at);
            let service = upstream.entry.service.clone();
            state.load_aware_services.insert(service);
            if is_news && forwards {
                state.load_outbox.push(item.process);
            }
        }
        let has_news = !state.load_outbox.is_empty();
        drop(state);
        if has_news {
            self.load_news_due.notify_one();
        }
    }
}
