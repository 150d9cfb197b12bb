//! What the tasks of the program share.

use std::sync::Arc;
use std::sync::Mutex;

use cassia_clients::ByteBudget;
use cassia_clients::Store;
use cassia_node::Metrics;
use cassia_node::MetricsPage;

use crate::admission::AdmissionControl;
use crate::body::BodyBudgets;
use crate::clock::BootClock;
use crate::clock::Clock;
use crate::demand::Demand;
use crate::duties::DutyContext;
use crate::flags::ServeSettings;
use crate::hosts::ReadPosition;
use crate::job_log::JobLog;
use crate::key_reads::ConfigReads;
use crate::quarantine::Quarantine;
use crate::relay::HostRelay;
use crate::resume::Streams;
use crate::state::SharedState;
use crate::store_contact::StoreContact;
use crate::target_clients::TargetClients;
use crate::usage::Usage;

/// The shared state and the clients of other systems.
#[derive(Debug)]
pub(crate) struct App {
    pub(crate) state: SharedState,
    pub(crate) store: Arc<dyn Store>,
    /// Clients of the targets.
    pub(crate) clients: TargetClients,
    /// The other hosts, and the links to the targets.
    pub(crate) relay: Arc<HostRelay>,
    /// How far the other hosts' announcements are read.
    pub(crate) hosts_position: Mutex<ReadPosition>,
    pub(crate) clock: Box<dyn Clock>,
    /// This host's work at services whose number of engines follows the demand.
    pub(crate) demand: Demand,
    /// The duties of one host at a time; `None` if the platform has no API.
    pub(crate) duties: Option<Arc<DutyContext>>,
    /// What this host counts; `None` if the usage is not reported.
    pub(crate) usage: Option<Arc<Usage>>,
    pub(crate) job_log: JobLog,
    /// The requests under which targets crashed.
    pub(crate) quarantine: Quarantine,
    /// Which version of the software began which stream.
    pub(crate) streams: Streams,
    /// Reads of the configuration for requests with unknown keys.
    pub(crate) key_reads: ConfigReads,
    /// Which requests run, and which wait, at the plain services.
    pub(crate) admission: AdmissionControl,
    /// Memory used by the bodies of requests that are not answered yet.
    pub(crate) body_budgets: BodyBudgets,
    pub(crate) metrics: Metrics,
    /// The metrics as served to operators.
    pub(crate) page: MetricsPage,
    pub(crate) settings: ServeSettings,
}

impl App {
    pub(crate) fn new(
        settings: &ServeSettings,
        store: Arc<dyn Store>,
        store_contact: Arc<StoreContact>,
        response_budget: &Arc<ByteBudget>,
    ) -> Self {
        let page = MetricsPage::default();
        let clock = BootClock::new();
        let duties = settings.duties.as_ref();
        let reported = duties.filter(|duties| duties.reports_usage);
        let usage = reported.map(|duties| Arc::new(Usage::new(duties.usage_window_ms, &clock)));
        let duties =
            duties.map(|duties| Arc::new(DutyContext::new(duties, response_budget, clock.now())));
        let state = SharedState::new(settings, store_contact);
        let relay = Arc::new(HostRelay::new(settings, &state.store_contact, &state.closed_targets));
        let job_log = JobLog::new(&store, &state.store_contact, settings.store_parts);
        Self {
            state,
            job_log,
            quarantine: Quarantine::default(),
            streams: Streams::default(),
            key_reads: ConfigReads::default(),
            admission: AdmissionControl::default(),
            body_budgets: BodyBudgets::new(settings.body_buffer_bytes()),
            store,
            clients: TargetClients::new(response_budget, &relay),
            relay,
            hosts_position: Mutex::default(),
            clock: Box::new(clock),
            duties,
            demand: Demand::default(),
            usage,
            metrics: Metrics::to_page(&page),
            page,
            settings: settings.clone(),
        }
    }
}
