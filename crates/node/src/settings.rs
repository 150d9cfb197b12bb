//! The flags and environment variables that all programs share.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::Bpaf;
use cassia_ids::DataCentre;
use cassia_ids::HostId;
use smol_str::SmolStr;

/// Settings that all programs share:
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(node_flags))]
pub struct NodeFlags {
    /// Name of the host that this process runs on
    #[bpaf(long, env("CASSIA_HOST"), argument("NAME"))]
    host: Option<String>,
    /// Name of the host's data centre
    #[bpaf(long, env("CASSIA_DATA_CENTRE"), argument("NAME"))]
    data_centre: Option<String>,
    /// Where this process's peers reach it, by TCP and UDP
    #[bpaf(long, env("CASSIA_LINK"), argument("IP:PORT"))]
    link: Option<String>,
    /// Where health, readiness and the state dump are served to operators
    #[bpaf(long, env("CASSIA_OPS"), argument("IP:PORT"))]
    ops: Option<String>,
    /// Where the platform's log is
    #[bpaf(long, env("CASSIA_LOG"), argument("IP:PORT"))]
    log: Option<String>,
    /// Where the replicas of the platform's list of targets are, separated by
    /// commas
    #[bpaf(long, env("CASSIA_LIST"), argument("IP:PORT,..."))]
    list: Option<String>,
    /// Where the weight store is
    #[bpaf(long, env("CASSIA_WEIGHTS"), argument("IP:PORT"))]
    weights: Option<String>,
    /// Where the scorer is; without it samples have no score
    #[bpaf(long, env("CASSIA_SCORER"), argument("IP:PORT"))]
    scorer: Option<String>,
    /// Where some peers may be found at the start, separated by commas
    #[bpaf(long, env("CASSIA_SEEDS"), argument("IP:PORT,..."), fallback(String::new()))]
    seeds: String,
    /// Where metrics go, as statsd datagrams; without it they are dropped
    #[bpaf(long, env("CASSIA_STATSD"), argument("IP:PORT"))]
    statsd: Option<String>,
    /// How long the load balancer may still send requests after readiness is
    /// gone, in milliseconds
    #[bpaf(long, env("CASSIA_DRAIN_LAG_MS"), argument("MS"), fallback("3000".to_owned()), display_fallback)]
    drain_lag_ms: String,
    /// How long a planned stop waits for requests in flight, in milliseconds
    #[bpaf(long, env("CASSIA_STOP_LIMIT_MS"), argument("MS"), fallback("60000".to_owned()), display_fallback)]
    stop_limit_ms: String,
    /// How long the log keeps records, in seconds
    #[bpaf(long, env("CASSIA_LOG_RETENTION_S"), argument("S"), fallback("604800".to_owned()), display_fallback)]
    log_retention_s: String,
    /// Check the settings and exit
    #[bpaf(long)]
    check: bool,
}

/// The role of a process; part of its member id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Serves callers' requests.
    Entry,
    /// Serves trainers' pulls.
    Rollout,
    /// Sends engines their orders.
    Control,
}

/// The validated settings that all programs share.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The host's name.
    pub host: HostId,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// The address that peers connect to.
    pub link: SocketAddr,
    /// The address that operators connect to.
    pub ops: SocketAddr,
    /// The platform's log.
    pub log: SocketAddr,
    /// The replicas of the list of targets.
    pub list: Vec<SocketAddr>,
    /// The weight store.
    pub weights: Option<SocketAddr>,
    /// The scorer.
    pub scorer: Option<SocketAddr>,
    /// Peers to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// The statsd collector.
    pub statsd: Option<SocketAddr>,
    /// How long requests may still arrive after readiness is gone.
    pub drain_lag_ms: u64,
    /// How long a planned stop waits for requests in flight.
    pub stop_limit_ms: u64,
    /// How long the log keeps records.
    pub log_retention_s: u64,
    /// Whether to exit after checking the settings.
    pub check_only: bool,
}

impl NodeFlags {
    /// Validates the flags; adds every fault to `faults`.
    pub fn check(&self, faults: &mut Faults) -> Option<NodeSettings> {
        let host = faults.name("--host", self.host.as_deref());
        let data_centre = faults.name("--data-centre", self.data_centre.as_deref());
        let link = faults.addr("--link", self.link.as_deref());
        let ops = faults.addr("--ops", self.ops.as_deref());
        let log = faults.addr("--log", self.log.as_deref());
        let list = faults.addrs("--list", self.list.as_deref());
        let weights = faults.optional_addr("--weights", self.weights.as_deref());
        let scorer = faults.optional_addr("--scorer", self.scorer.as_deref());
        let seeds = faults.addrs("--seeds", Some(&self.seeds));
        let statsd = faults.optional_addr("--statsd", self.statsd.as_deref());
        let drain_lag_ms = faults.number("--drain-lag-ms", &self.drain_lag_ms, 0, 600_000);
        let stop_limit_ms = faults.number("--stop-limit-ms", &self.stop_limit_ms, 0, 3_600_000);
        let log_retention_s =
            faults.number("--log-retention-s", &self.log_retention_s, 1, 365 * 86_400);
        Some(NodeSettings {
            host: host?,
            data_centre: data_centre?,
            link: link?,
            ops: ops?,
            log: log?,
            list: list?,
            weights,
            scorer,
            seeds: seeds?,
            statsd,
            drain_lag_ms: drain_lag_ms?,
            stop_limit_ms: stop_limit_ms?,
            log_retention_s: log_retention_s?,
            check_only: self.check,
        })
    }
}

/// All the faults in the settings.
#[derive(Debug, thiserror::Error)]
#[error("settings: {}", .0.join("; "))]
pub struct SettingsError(Vec<String>);

/// Parses settings and collects their faults.
#[derive(Debug, Default)]
pub struct Faults(Vec<String>);

impl Faults {
    /// Adds a fault: the flag, its value and the values that are accepted.
    pub fn add(&mut self, flag: &str, value: Option<&str>, accepted: &str) {
        let value = value.map_or_else(|| "missing".to_owned(), |value| format!("{value:?}"));
        self.0.push(format!("{flag} is {value}; accepted: {accepted}"));
    }

    /// Returns the faults as an error.
    ///
    /// # Errors
    ///
    /// There are faults.
    pub fn into_result(self) -> Result<(), SettingsError> {
        if self.0.is_empty() { Ok(()) } else { Err(SettingsError(self.0)) }
    }

    /// Parses a name.
    pub fn name(&mut self, flag: &str, value: Option<&str>) -> Option<SmolStr> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
        let valid = value.filter(|v| (1..=64).contains(&v.len()) && v.chars().all(allowed));
        if valid.is_none() {
            self.add(flag, value, "1 to 64 letters, digits, - and .");
        }
        valid.map(SmolStr::new)
    }

    /// Parses an address.
    pub fn addr(&mut self, flag: &str, value: Option<&str>) -> Option<SocketAddr> {
        self.parse(flag, value, "IP:PORT")
    }

    /// Parses an address that may be missing.
    pub fn optional_addr(&mut self, flag: &str, value: Option<&str>) -> Option<SocketAddr> {
        value.and_then(|value| self.addr(flag, Some(value)))
    }

    /// Parses addresses separated by commas.
    pub fn addrs(&mut self, flag: &str, value: Option<&str>) -> Option<Vec<SocketAddr>> {
        let Some(value) = value else {
            self.add(flag, None, "IP:PORT, separated by commas");
            return None;
        };
        let parts = value.split(',').filter(|part| !part.is_empty());
        parts.map(|part| self.addr(flag, Some(part.trim()))).collect()
    }

    /// Parses an integer in a range.
    pub fn number(&mut self, flag: &str, value: &str, min: u64, max: u64) -> Option<u64> {
        let number = value.parse().ok().filter(|n| (min..=max).contains(n));
        if number.is_none() {
            self.add(flag, Some(value), &format!("a whole number from {min} to {max}"));
        }
        number
    }

    /// Parses a number in a range that may have a fraction, and multiplies it by
    /// 1,000: seconds become milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range has been checked"
    )]
    pub fn thousandths(&mut self, flag: &str, value: &str, min: u32, max: u32) -> Option<u64> {
        let range = f64::from(min)..=f64::from(max);
        let number = value.parse().ok().filter(|n: &f64| range.contains(n));
        if number.is_none() {
            self.add(flag, Some(value), &format!("a number from {min} to {max}"));
        }
        number.map(|number| (number * 1_000.0).round() as u64)
    }

    fn parse<T: FromStr>(&mut self, flag: &str, value: Option<&str>, accepted: &str) -> Option<T> {
        let parsed = value.and_then(|value| value.parse().ok());
        if parsed.is_none() {
            self.add(flag, value, accepted);
        }
        parsed
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Rollout => "rollout",
            Self::Control => "control",
        })
    }
}
