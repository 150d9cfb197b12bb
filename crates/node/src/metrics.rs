//! Metrics, as statsd datagrams or as a page that is read.

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

use crate::board::lock;

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

    /// Gathers the metrics on a page.
    #[must_use]
    pub fn on_page(page: &MetricsPage) -> Self {
        Self(StatsdClient::from_sink("cassia", page.clone()))
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

/// The longest time that a histogram tells apart, in milliseconds.
const LONGEST_MS: u64 = 120_000;
/// Figures of a time that a histogram keeps.
const FIGURES: u8 = 1;
/// Series that a page holds at most.
const MOST_SERIES: usize = 400;

/// Metrics gathered in this process, to be read as text.
#[derive(Clone, Debug, Default)]
pub struct MetricsPage(Arc<Mutex<BTreeMap<String, Series>>>);

#[derive(Debug)]
enum Series {
    Counter(u64),
    Gauge(u64),
    Times(Box<Histogram<u32>>),
}

impl MetricsPage {
    /// Gives the page: a line for each counter and gauge, and count, p50, p90,
    /// p99 and the longest of each series of times, in milliseconds.
    #[must_use]
    pub fn text(&self) -> String {
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
                Series::Times(times) => {
                    let comma = if labels.is_empty() { "" } else { "," };
                    for (quantile, share) in
                        [("0.5", 0.5), ("0.9", 0.9), ("0.99", 0.99), ("1", 1.0)]
                    {
                        let labels = format!("{labels}{comma}quantile=\"{quantile}\"");
                        line(&labels, times.value_at_quantile(share));
                    }
                    let labels = format!("{labels}{comma}stat=\"count\"");
                    line(&labels, times.len());
                }
            }
        }
        text
    }

    /// Takes one metric in; none if it is of a form that isn't known.
    fn take(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut parts = rest.split('|');
        let value: u64 = parts.next()?.parse().ok()?;
        let kind = parts.next()?;
        let tags = parts.find(|part| part.starts_with('#')).unwrap_or("");
        let key = format!("{name}{tags}");
        let mut page = lock(&self.0);
        if page.len() >= MOST_SERIES && !page.contains_key(&key) {
            return None;
        }
        match (kind, page.get_mut(&key)) {
            ("c", Some(Series::Counter(sum))) => *sum += value,
            ("ms", Some(Series::Times(times))) => times.saturating_record(value.max(1)),
            ("c", None) => drop(page.insert(key, Series::Counter(value))),
            ("g", _) => drop(page.insert(key, Series::Gauge(value))),
            ("ms", None) => {
                let mut times = Histogram::new_with_max(LONGEST_MS, FIGURES).ok()?;
                times.saturating_record(value.max(1));
                page.insert(key, Series::Times(Box::new(times)));
            }
            _ => return None,
        }
        Some(())
    }
}

impl MetricSink for MetricsPage {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        self.take(metric).map(|()| metric.len()).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}
