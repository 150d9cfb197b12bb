//! Metrics, sent as statsd datagrams or gathered on a page.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::MetricSink;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use hdrhistogram::Histogram;

use crate::state::lock;

/// Sends a process's metrics.
#[derive(Debug)]
pub struct Metrics(StatsdClient);

impl Metrics {
    /// Sends metrics to a statsd collector, or drops them without one.
    ///
    /// # Errors
    ///
    /// The socket can't be opened.
    pub fn new(collector: Option<SocketAddr>) -> anyhow::Result<Self> {
        let Some(addr) = collector else {
            return Ok(Self(StatsdClient::from_sink("cassia", NopMetricSink)));
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = QueuingMetricSink::from(UdpMetricSink::from(addr, socket)?);
        Ok(Self(StatsdClient::from_sink("cassia", sink)))
    }

    /// Gathers the metrics on a page.
    #[must_use]
    pub fn to_page(page: &MetricsPage) -> Self {
        Self(StatsdClient::from_sink("cassia", page.clone()))
    }

    /// Counts one event.
    pub fn count(&self, name: &str, customer: &str) {
        self.0.count_with_tags(name, 1).with_tag("customer", customer).send();
    }

    /// Records a duration.
    pub fn time(&self, name: &str, customer: &str, took: Duration) {
        self.0.time_with_tags(name, took).with_tag("customer", customer).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, customer: &str, value: u64) {
        self.0.gauge_with_tags(name, value).with_tag("customer", customer).send();
    }
}

/// Longer durations are recorded as this one.
const MAX_DURATION_MS: u64 = 120_000;
/// Precision of the histograms.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Limit for each page.
const MAX_SERIES: usize = 400;

/// Metrics gathered in memory, rendered as text on request.
#[derive(Clone, Debug, Default)]
pub struct MetricsPage(Arc<Mutex<BTreeMap<String, Series>>>);

#[derive(Debug)]
enum Series {
    Counter(u64),
    Gauge(u64),
    Durations(Box<Histogram<u32>>),
}

impl MetricsPage {
    /// Renders the page: a line for each counter and gauge, and p50, p90, p99,
    /// maximum and count of each series of durations, in milliseconds.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (name, series) in lock(&self.0).iter() {
            let (name, labels) = name.split_once('#').unwrap_or((name, ""));
            let labels = labels.replace(':', "=\"").replace(',', "\",");
            let labels = if labels.is_empty() { labels } else { format!("{labels}\"") };
            let mut line = |labels: &str, value: u64| {
                let _ = writeln!(text, "{}{{{labels}}} {value}", name.replace('.', "_"));
            };
            match series {
                Series::Counter(value) | Series::Gauge(value) => line(&labels, *value),
                Series::Durations(durations) => {
                    let comma = if labels.is_empty() { "" } else { "," };
                    for (quantile, q) in [("0.5", 0.5), ("0.9", 0.9), ("0.99", 0.99), ("1", 1.0)] {
                        let labels = format!("{labels}{comma}quantile=\"{quantile}\"");
                        line(&labels, durations.value_at_quantile(q));
                    }
                    let labels = format!("{labels}{comma}stat=\"count\"");
                    line(&labels, durations.len());
                }
            }
        }
        text
    }

    /// Records one statsd metric; returns `None` if it can't be parsed, or if
    /// it belongs to a new series and the page is full.
    fn record(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut parts = rest.split('|');
        let value: u64 = parts.next()?.parse().ok()?;
        let kind = parts.next()?;
        let tags = parts.find(|part| part.starts_with('#')).unwrap_or("");
        let key = format!("{name}{tags}");
        let mut page = lock(&self.0);
        if page.len() >= MAX_SERIES && !page.contains_key(&key) {
            return None;
        }
        match (kind, page.get_mut(&key)) {
            ("c", Some(Series::Counter(sum))) => *sum += value,
            ("ms", Some(Series::Durations(durations))) => durations.saturating_record(value.max(1)),
            ("c", None) => drop(page.insert(key, Series::Counter(value))),
            ("g", _) => drop(page.insert(key, Series::Gauge(value))),
            ("ms", None) => {
                let mut durations =
                    Histogram::new_with_max(MAX_DURATION_MS, SIGNIFICANT_DIGITS).ok()?;
                durations.saturating_record(value.max(1));
                page.insert(key, Series::Durations(Box::new(durations)));
            }
            _ => return None,
        }
        Some(())
    }
}

impl MetricSink for MetricsPage {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.record(metric).map(|()| metric.len()).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}
