//! Sending of a load at its times.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use super::exchange::{Exchange, HttpClient};
use super::tally::Tally;
use super::{CustomerReport, LoadReport, LoadSettings};
use crate::fault::lock;

/// Load of callers.
pub struct Load;

impl Load {
    /// Sends the whole load and returns what came of it.
    pub async fn run(settings: LoadSettings) -> LoadReport {
        let settings = Arc::new(settings);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        let mut customers = JoinSet::new();
        for index in 0..settings.customers.len() {
            customers.spawn(send_all(settings.clone(), index, client.clone()));
        }
        let reports = customers.join_all().await;
        LoadReport {
            customers: reports.into_iter().collect(),
        }
    }
}

async fn send_all(
    settings: Arc<LoadSettings>,
    index: usize,
    client: HttpClient,
) -> (String, CustomerReport) {
    let customer = &settings.customers[index];
    let mut random = StdRng::seed_from_u64(settings.seed.wrapping_add(index as u64));
    let tally = Arc::new(Mutex::new(Tally::new()));
    let mut requests = JoinSet::new();
    let start = Instant::now();
    let mut at = Duration::ZERO;
    loop {
        let pause = -(1.0 - random.random::<f64>()).ln() / customer.requests_per_second;
        at += Duration::from_secs_f64(pause);
        if at >= settings.duration {
            break;
        }
        let due = start + at;
        let exchange = Exchange::new(&settings, customer, &mut random, at);
        tokio::time::sleep_until(due.into()).await;
        while requests.try_join_next().is_some() {}
        let timeout = settings.timeout;
        let (client, tally) = (client.clone(), tally.clone());
        requests.spawn(async move { exchange.run(client, timeout, &tally).await });
    }
    requests.join_all().await;
    let report = lock(&tally).close(start.elapsed(), settings.answer_tokens);
    (customer.name.clone(), report)
}
