//! Metrics of the daemon: request threads count with atomics, and the control thread sends the sums to statsd each
//! second.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient,
};
use coltsfootkeel_decisions::RefusalKind;

const METRIC_PREFIX: &str = "coltsfootkeel";

/// The counters that [`DaemonMetrics::send`] sends and resets.
#[derive(Debug, Default)]
struct MetricCounts {
    answered: AtomicU64,
    latency_us: AtomicU64,
    retried: AtomicU64,
    lookups: AtomicU64,
    refused: [AtomicU64; RefusalKind::ALL.len()],
}

/// Counters of this process and the statsd client that sends them. The names of the metrics are fixed, so their number
/// is bounded.
#[derive(Debug)]
pub struct DaemonMetrics {
    client: StatsdClient,
    counts: MetricCounts,
}

impl DaemonMetrics {
    /// Creates metrics that are sent to the address `statsd`; with `None` they are counted but not sent.
    ///
    /// # Errors
    ///
    /// Returns an error if no local UDP socket can be bound.
    pub fn new(statsd: Option<SocketAddr>) -> Result<Self, std::io::Error> {
        let client = match statsd {
            Some(address) => StatsdClient::from_sink(METRIC_PREFIX, queued_sink(address)?),
            None => StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink),
        };
        Ok(Self {
            client,
            counts: MetricCounts::default(),
        })
    }

    /// Counts a request that was answered by an upstream after `latency`.
    pub fn count_answer(&self, latency: Duration) {
        let microseconds = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.counts.answered.fetch_add(1, Ordering::Relaxed);
        self.counts
            .latency_us
            .fetch_add(microseconds, Ordering::Relaxed);
    }

    /// Counts a request that was refused for the reason `kind`.
    pub fn count_refusal(&self, kind: RefusalKind) {
        self.counts.refused[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt of a request after its first one.
    pub fn count_retry(&self) {
        self.counts.retried.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a look-up that was received.
    pub fn count_lookup(&self) {
        self.counts.lookups.fetch_add(1, Ordering::Relaxed);
    }

    /// Sends the counts since the last call, and `generation` and `in_flight` as gauges. A metric that cannot be sent
    /// is dropped.
    pub fn send(&self, generation: u64, in_flight: u64) {
        let answered = take_count(&self.counts.answered);
        let latency_us = take_count(&self.counts.latency_us);
        self.send_count("requests.answered", answered);
        self.send_count("requests.retried", take_count(&self.counts.retried));
        self.send_count("lookups.answered", take_count(&self.counts.lookups));
        for kind in RefusalKind::ALL {
            let refused = take_count(&self.counts.refused[kind as usize]);
            self.send_count(&format!("requests.refused.{}", kind.code()), refused);
        }
        if let Some(mean) = latency_us.checked_div(answered) {
            let _ = self.client.gauge("requests.mean_latency_us", mean);
        }
        let _ = self.client.gauge("config.generation", generation);
        let _ = self.client.gauge("requests.in_flight", in_flight);
    }

    fn send_count(&self, name: &str, count: u64) {
        if count > 0 {
            let _ = self
                .client
                .count(name, i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}

fn take_count(counter: &AtomicU64) -> u64 {
    counter.swap(0, Ordering::Relaxed)
}

fn queued_sink(address: SocketAddr) -> Result<QueuingMetricSink, std::io::Error> {
    let local = if address.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    Ok(QueuingMetricSink::from(sink))
}
