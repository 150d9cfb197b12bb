//! The program's flags and their validation.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use cassia_ids::DataCentre;
use cassia_ids::HostId;
use cassia_node::Faults;
use cassia_node::SettingsError;

/// Upper bound on the encoded size of a result's fields other than its text.
const RESULT_OVERHEAD_BYTES: usize = 4 << 10;

/// Names of the duties.
const USAGE_DUTY: &str = "usage_report";
const SCALE_DUTY: &str = "scale";
/// How long after the last read of the configuration keys are refused, if they are.
const DEFAULT_REVOKE_MS: &str = "5000";
/// Memory of the smallest hosts, in megabytes, which is assumed if none is stated.
const SMALLEST_MEMORY_MB: &str = "112";
/// What half of the memory is needed for beside the bodies of requests.
const OTHER_MEMORY_MB: usize = 24;
/// The least limit on these bodies.
const MIN_BODY_MB: usize = 16;

/// Settings of this program:
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(serve_flags))]
pub(crate) struct ServeFlags {
    /// Name of the host that this process runs on
    #[bpaf(long, env("CASSIA_HOST"), argument("NAME"))]
    host: Option<String>,
    /// Name of the host's data centre
    #[bpaf(long, env("CASSIA_DATA_CENTRE"), argument("NAME"))]
    data_centre: Option<String>,
    /// Where callers and trainers reach this process
    #[bpaf(long, env("CASSIA_LISTEN"), argument("IP:PORT"))]
    listen: Option<String>,
    /// Where the load balancer checks whether this process accepts requests
    #[bpaf(long, env("CASSIA_READY"), argument("IP:PORT"))]
    ready: Option<String>,
    /// Where operators read metrics and the state dump
    #[bpaf(long, env("CASSIA_OPS"), argument("IP:PORT"))]
    ops: Option<String>,
    /// Where other hosts ask for connections to targets that they don't reach
    #[bpaf(long, env("CASSIA_RELAY"), argument("IP:PORT"))]
    relay: Option<String>,
    /// Where the platform's store is
    #[bpaf(long, env("CASSIA_STORE"), argument("IP:PORT"))]
    store: Option<String>,
    /// Number of partitions of each topic of the store
    #[bpaf(long, env("CASSIA_STORE_PARTS"), argument("N"), fallback("12".to_owned()), display_fallback)]
    store_parts: String,
    /// Maximum size of a record of the store, in bytes
    #[bpaf(long, env("CASSIA_RECORD_BYTES"), argument("BYTES"), fallback("262144".to_owned()), display_fallback)]
    record_bytes: String,
    /// Maximum total size of the records of one append, in bytes
    #[bpaf(long, env("CASSIA_APPEND_BYTES"), argument("BYTES"), fallback("2097152".to_owned()), display_fallback)]
    append_bytes: String,
    /// Minimum time between orders of two lease holders to one engine, in milliseconds
    #[bpaf(long, env("CASSIA_LEASE_MS"), argument("MS"), fallback("3000".to_owned()), display_fallback)]
    lease_ms: String,
    /// Where the platform's API is; without it, no duties are performed
    #[bpaf(long, env("CASSIA_PLATFORM_API"), argument("IP:PORT"))]
    platform_api: Option<String>,
    /// Duties of one host at a time, separated by commas: `usage_report`, `scale`
    #[bpaf(long, env("CASSIA_DUTIES"), argument("NAMES"))]
    duties: Option<String>,
    /// Calls a second that the platform's API accepts from all hosts
    #[bpaf(long, env("CASSIA_DUTY_CALLS_PER_S"), argument("N"))]
    duty_calls_per_s: Option<String>,
    /// Length of a window whose use is reported, in seconds
    #[bpaf(long, env("CASSIA_USAGE_WINDOW_S"), argument("S"))]
    usage_window_s: Option<String>,
    /// How long after its end the use of a window is due, in seconds
    #[bpaf(long, env("CASSIA_USAGE_LATE_S"), argument("S"))]
    usage_late_s: Option<String>,
    /// Whether keys are refused while the configuration can't be read: true or false
    #[bpaf(long, env("CASSIA_STRICT_REVOKE"), argument("BOOL"))]
    strict_revoke: Option<String>,
    /// Age of the last read of the configuration from which on strict revocation refuses keys, in milliseconds
    #[bpaf(long, env("CASSIA_REVOKE_MS"), argument("MS"))]
    revoke_ms: Option<String>,
    /// Maximum size of all responses of targets that are being read, in kilobytes; those of the store have as much again
    #[bpaf(long, env("CASSIA_RESPONSE_BUFFER_KB"), argument("KB"), fallback("16384".to_owned()), display_fallback)]
    response_buffer_kb: String,
    /// Memory that the process may use, in megabytes; half of it, less 24, is for the bodies of requests; 112 if none is stated
    #[bpaf(long, env("CASSIA_MEMORY_MB"), argument("MB"))]
    memory_mb: Option<String>,
    /// How long a planned stop may take, in milliseconds
    #[bpaf(long, env("CASSIA_STOP_LIMIT_MS"), argument("MS"), fallback("7000".to_owned()), display_fallback)]
    stop_limit_ms: String,
    /// Check the settings and exit
    #[bpaf(long)]
    check: bool,
}

/// The duties of one host at a time that the platform expects.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct DutySettings {
    /// Where the platform's API is.
    pub(crate) api: SocketAddr,
    pub(crate) reports_usage: bool,
    pub(crate) scales: bool,
    /// Calls a second that the API accepts from all hosts.
    pub(crate) calls_per_second: u32,
    /// Length of a window whose use is reported, in milliseconds.
    pub(crate) usage_window_ms: u64,
    /// How long after its end the use of a window is due, in milliseconds.
    pub(crate) usage_late_ms: u64,
}

/// The validated settings.
#[derive(Clone, Debug)]
pub(crate) struct ServeSettings {
    pub(crate) host: HostId,
    pub(crate) data_centre: DataCentre,
    pub(crate) listen: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) ops: Option<SocketAddr>,
    pub(crate) relay: Option<SocketAddr>,
    pub(crate) store: SocketAddr,
    pub(crate) store_parts: u32,
    pub(crate) record_bytes: usize,
    pub(crate) append_bytes: usize,
    pub(crate) lease_ms: u64,
    /// `None` if the platform has no API.
    pub(crate) duties: Option<DutySettings>,
    /// How long after the last read of the configuration keys are refused, in
    /// milliseconds; `None` if they are not.
    pub(crate) revoke_ms: Option<u64>,
    pub(crate) response_buffer_bytes: usize,
    pub(crate) memory_mb: u64,
    /// Whether it was stated without a value, so that the least is assumed.
    pub(crate) has_empty_memory: bool,
    pub(crate) stop_limit_ms: u64,
    pub(crate) check_only: bool,
}

impl ServeFlags {
    /// Validates the flags.
    ///
    /// # Errors
    ///
    /// Returns all faults at once.
    pub(crate) fn check(&self) -> Result<ServeSettings, SettingsError> {
        let mut faults = Faults::default();
        let settings = self.parse(&mut faults);
        faults.into_result()?;
        match settings {
            Some(settings) => Ok(settings),
            None => unreachable!("a missing value has been added as a fault"),
        }
    }

    fn parse(&self, faults: &mut Faults) -> Option<ServeSettings> {
        let host = faults.name("--host", self.host.as_deref());
        let data_centre = faults.name("--data-centre", self.data_centre.as_deref());
        let listen = faults.addr("--listen", self.listen.as_deref());
        let ready = faults.addr("--ready", self.ready.as_deref());
        let ops = faults.optional_addr("--ops", self.ops.as_deref());
        let relay = faults.optional_addr("--relay", self.relay.as_deref());
        let store = faults.addr("--store", self.store.as_deref());
        let store_parts = faults.number("--store-parts", &self.store_parts, 1, 100);
        let record_bytes = faults.number("--record-bytes", &self.record_bytes, 1_024, 1 << 30);
        let append_bytes = faults.number("--append-bytes", &self.append_bytes, 1_024, 1 << 30);
        let lease_ms = faults.number("--lease-ms", &self.lease_ms, 0, 600_000);
        let duties = self.parse_duties(faults);
        let revoke_ms = self.parse_revoke_ms(faults);
        let response_buffer_kb =
            faults.number("--response-buffer-kb", &self.response_buffer_kb, 1_024, 1 << 24);
        let memory_mb = given(self.memory_mb.as_deref()).unwrap_or(SMALLEST_MEMORY_MB);
        let memory_mb = faults.number("--memory-mb", memory_mb, 1, 1 << 20);
        let stop_limit_ms = faults.number("--stop-limit-ms", &self.stop_limit_ms, 0, 600_000);
        Some(ServeSettings {
            host: host?,
            data_centre: data_centre?,
            listen: listen?,
            ready: ready?,
            ops,
            relay,
            store: store?,
            store_parts: u32::try_from(store_parts?).ok()?,
            record_bytes: usize::try_from(record_bytes?).ok()?,
            append_bytes: usize::try_from(append_bytes?).ok()?,
            lease_ms: lease_ms?,
            duties,
            revoke_ms,
            response_buffer_bytes: usize::try_from(response_buffer_kb? << 10).ok()?,
            memory_mb: memory_mb?,
            has_empty_memory: self.memory_mb.as_deref() == Some(""),
            stop_limit_ms: stop_limit_ms?,
            check_only: self.check,
        })
    }

    /// Returns the duties; `None` without an API, or if a value is a fault.
    fn parse_duties(&self, faults: &mut Faults) -> Option<DutySettings> {
        let mut thousandths = |flag, value: Option<&str>, default| {
            faults.thousandths(flag, given(value).unwrap_or(default), 1, 86_400)
        };
        let calls = thousandths("--duty-calls-per-s", self.duty_calls_per_s.as_deref(), "50");
        let window_ms = thousandths("--usage-window-s", self.usage_window_s.as_deref(), "5");
        let late_ms = thousandths("--usage-late-s", self.usage_late_s.as_deref(), "10");
        let api = faults.optional_addr("--platform-api", given(self.platform_api.as_deref()))?;
        // The platform may have duties that this release does not know.
        let names = given(self.duties.as_deref()).unwrap_or_default();
        let has_duty = |duty| names.split(',').any(|name| name.trim() == duty);
        Some(DutySettings {
            api,
            reports_usage: has_duty(USAGE_DUTY),
            scales: has_duty(SCALE_DUTY),
            calls_per_second: u32::try_from(calls? / 1_000).ok()?,
            usage_window_ms: window_ms?,
            usage_late_ms: late_ms?,
        })
    }

    /// Returns after which time keys are refused; `None` if they never are, or if a
    /// value is a fault.
    fn parse_revoke_ms(&self, faults: &mut Faults) -> Option<u64> {
        let revoke_ms = given(self.revoke_ms.as_deref()).unwrap_or(DEFAULT_REVOKE_MS);
        let revoke_ms = faults.number("--revoke-ms", revoke_ms, 0, 600_000);
        match given(self.strict_revoke.as_deref()) {
            None | Some("false") => None,
            Some("true") => revoke_ms,
            Some(other) => {
                faults.add("--strict-revoke", Some(other), "true or false");
                None
            }
        }
    }
}

/// Returns the value of a flag unless it is empty: the platform's settings have no
/// value for what a deployment does not use.
fn given(value: Option<&str>) -> Option<&str> {
    value.filter(|value| !value.is_empty())
}

impl ServeSettings {
    /// Returns the maximum size of an item's text, in bytes. Its result must fit
    /// one record of the store.
    pub(crate) fn max_text_bytes(&self) -> usize {
        self.record_bytes.saturating_sub(RESULT_OVERHEAD_BYTES)
    }

    /// Returns the limit on the bodies of requests that are not answered yet, in bytes.
    pub(crate) fn body_buffer_bytes(&self) -> usize {
        let mb = usize::try_from(self.memory_mb / 2).unwrap_or(usize::MAX);
        mb.saturating_sub(OTHER_MEMORY_MB).max(MIN_BODY_MB).saturating_mul(1 << 20)
    }

    /// Returns how long a planned stop may take.
    pub(crate) fn stop_limit(&self) -> Duration {
        Duration::from_millis(self.stop_limit_ms)
    }
}
