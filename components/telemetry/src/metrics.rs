//! Metrics by OpenTelemetry, exported in the text format of Prometheus.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;

/// The metrics of a process.
pub struct Metrics {
    registry: prometheus::Registry,
    provider: SdkMeterProvider,
}

/// Why metrics cannot be exported.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter cannot be built.
    #[error("cannot build the exporter: {0}")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The registry refuses.
    #[error("cannot write the metrics: {0}")]
    Registry(#[from] prometheus::Error),
}

impl Metrics {
    /// Starts an empty set of metrics.
    ///
    /// # Errors
    /// [`Error::Exporter`] when the exporter cannot be built.
    pub fn start() -> Result<Self, Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// A meter for the component called `name`.
    #[must_use]
    pub fn meter(&self, name: &'static str) -> Meter {
        self.provider.meter(name)
    }

    /// All metrics in the text format of Prometheus.
    ///
    /// # Errors
    /// [`Error::Registry`] when they cannot be written.
    pub fn text(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
