//! Meter provider that exports to a Prometheus registry.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::Metrics;

const METER_NAME: &str = "celerylever";

/// All metrics of a process, with the registry that exports them.
#[derive(Debug, Clone)]
pub struct Telemetry {
    registry: Registry,
    // Instruments stop recording when their provider is dropped.
    provider: SdkMeterProvider,
    metrics: Metrics,
}

impl Telemetry {
    /// Creates a registry with all metrics at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(METER_NAME)
            .build()
            .expect("a new registry contains no collector that could conflict");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let metrics = Metrics::new(&provider.meter(METER_NAME));
        Self {
            registry,
            provider,
            metrics,
        }
    }

    /// Returns a handle to the metrics; cloning it is cheap.
    pub fn metrics(&self) -> Metrics {
        self.metrics.clone()
    }

    /// Returns the meter with which other modules create their own instruments.
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
