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
    /// Maximum size of all responses of targets and the store that are being read, in kilobytes
    #[bpaf(long, env("CASSIA_RESPONSE_BUFFER_KB"), argument("KB"), fallback("16384".to_owned()), display_fallback)]
    response_buffer_kb: String,
    /// How long a planned stop may take, in milliseconds
    #[bpaf(long, env("CASSIA_STOP_LIMIT_MS"), argument("MS"), fallback("7000".to_owned()), display_fallback)]
    stop_limit_ms: String,
    /// Check the settings and exit
    #[bpaf(long)]
    check: bool,
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
    pub(crate) response_buffer_bytes: usize,
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
        let response_buffer_kb =
            faults.number("--response-buffer-kb", &self.response_buffer_kb, 1_024, 1 << 24);
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
            response_buffer_bytes: usize::try_from(response_buffer_kb? << 10).ok()?,
            stop_limit_ms: stop_limit_ms?,
            check_only: self.check,
        })
    }
}

impl ServeSettings {
    /// Returns the maximum size of an item's text, in bytes. Its result must fit
    /// one record of the store.
    pub(crate) fn max_text_bytes(&self) -> usize {
        self.record_bytes.saturating_sub(RESULT_OVERHEAD_BYTES)
    }

    /// Returns how long a planned stop may take.
    pub(crate) fn stop_limit(&self) -> Duration {
        Duration::from_millis(self.stop_limit_ms)
    }
}
