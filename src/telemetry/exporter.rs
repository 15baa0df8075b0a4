//! Meter provider with its Prometheus registry.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::Metrics;

const METER_NAME: &str = "celerylever";

/// Owner of all metrics of a process.
#[derive(Debug, Clone)]
pub struct Telemetry {
    registry: Registry,
    // Instruments go dead once their provider is dropped.
    provider: SdkMeterProvider,
    metrics: Metrics,
}

impl Telemetry {
    /// Creates the metrics, all at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(METER_NAME)
            .build()
            .expect("a fresh registry has no collector that could clash");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let metrics = Metrics::new(&provider.meter(METER_NAME));
        Self {
            registry,
            provider,
            metrics,
        }
    }

    /// Returns a cheap handle to the metrics.
    pub fn metrics(&self) -> Metrics {
        self.metrics.clone()
    }

    /// Returns the meter for instruments of other modules.
    pub fn meter(&self) -> Meter {
        self.provider.meter(METER_NAME)
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

impl Default for Telemetry {
    fn default() -> Self {
        Self::new()
    }
}
