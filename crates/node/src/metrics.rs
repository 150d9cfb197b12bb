//! Metrics, as statsd datagrams.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;

/// Where a process's metrics go.
#[derive(Debug)]
pub struct Metrics(StatsdClient);

impl Metrics {
    /// Opens the way to a collector, or drops everything without one.
    ///
    /// # Errors
    ///
    /// No socket can be had.
    pub fn new(to: Option<SocketAddr>) -> anyhow::Result<Self> {
        let Some(to) = to else {
            return Ok(Self(StatsdClient::from_sink("cassia", NopMetricSink)));
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = QueuingMetricSink::from(UdpMetricSink::from(to, socket)?);
        Ok(Self(StatsdClient::from_sink("cassia", sink)))
    }

    /// Counts one event.
    pub fn count(&self, name: &str, customer: &str) {
        self.0.count_with_tags(name, 1).with_tag("customer", customer).send();
    }

    /// Notes how long something took.
    pub fn time(&self, name: &str, customer: &str, took: Duration) {
        self.0.time_with_tags(name, took).with_tag("customer", customer).send();
    }

    /// Notes a level.
    pub fn gauge(&self, name: &str, customer: &str, level: u64) {
        self.0.gauge_with_tags(name, level).with_tag("customer", customer).send();
    }
}
