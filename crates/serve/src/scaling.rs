//! The duty that orders engines according to the demand.
//!
//! An order is appended to a topic of the store and read back before the call, so
//! that the next holder repeats an order whose answer is not known.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use cassia_clients::CapacityAnswer;
use cassia_clients::CapacityOrder;
use cassia_clients::PartitionRef;
use cassia_clients::PlatformApiErrorKind;
use cassia_clients::StoreError;
use cassia_clients::StoreErrorKind;
use cassia_ids::Fence;
use cassia_ids::Offset;
use cassia_route::RouteTable;
use cassia_route::Target;
use cassia_route::TargetKind;
use cassia_scaling::Autoscaler;
use cassia_scaling::DemandTable;
use cassia_scaling::EngineState;
use cassia_scaling::HostDemand;
use cassia_scaling::OrderState;
use cassia_scaling::ScalingLedger;
use cassia_scaling::ScalingPolicy;
use cassia_scaling::ScalingRecord;
use prost::Message;
use smol_str::SmolStr;

use crate::app::App;
use crate::clock::unix_ms;
use crate::demand::DEMAND_TOPIC;
use crate::duties::CALL_TIMEOUT;
use crate::duties::CallFailure;
use crate::duties::Duty;
use crate::duties::DutyContext;
use crate::duties::DutyOutcome;
use crate::duties::DutyTurn;
use crate::keyed_reader::KeyedReader;

/// The topic of the orders.
const ORDERS: PartitionRef<'static> = PartitionRef { topic: "scaling", partition: 0 };
/// How often the hosts' reports are read.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Limit of one read of the orders, in kilobytes.
const READ_MAX_KB: u32 = 256;

/// Orders the engines of all services with limits in the configuration.
#[derive(Debug)]
pub(crate) struct ScalingDuty {
    context: Arc<DutyContext>,
    /// The fencing token for which the orders of earlier holders were read.
    fence: Option<Fence>,
    ledger: ScalingLedger,
    next_offset: Offset,
    /// An answer that is not recorded yet.
    answer: Option<ScalingRecord>,
    demand: DemandTable,
    demand_reader: KeyedReader,
    read_at: Option<Instant>,
    scalers: BTreeMap<SmolStr, Autoscaler>,
}

impl ScalingDuty {
    pub(crate) fn new(context: Arc<DutyContext>) -> Self {
        Self {
            context,
            fence: None,
            ledger: ScalingLedger::default(),
            next_offset: 0,
            answer: None,
            demand: DemandTable::default(),
            demand_reader: KeyedReader::new(DEMAND_TOPIC),
            read_at: None,
            scalers: BTreeMap::new(),
        }
    }

    /// Takes the next steps; an error of the store leaves the last order in force.
    async fn step(&mut self, app: &App, turn: &DutyTurn) -> Result<DutyOutcome, StoreError> {
        let table = app.state.routes.load_full();
        let Some(table) = table.filter(|table| !table.scaling.is_empty()) else {
            self.scalers.clear();
            return Ok(DutyOutcome::Done);
        };
        if self.fence != Some(turn.holder.fence) {
            // Another host may have made orders since.
            self.read_orders(app).await?;
            self.answer = None;
            self.scalers.clear();
            self.fence = Some(turn.holder.fence);
        }
        self.record_answer(app).await?;
        if let Some(record) = self.ledger.unanswered() {
            if table.scaling.contains_key(record.service.as_str()) {
                return Ok(self.send(app, turn).await);
            }
            // The service is no longer scaled, so its last order is not repeated.
            let (number, order) = (record.number, record.order());
            let fence = turn.holder.fence;
            self.answer = Some(ScalingRecord::new(number, &order, OrderState::Refused, fence));
            self.record_answer(app).await?;
        }
        let now = Instant::now();
        if self.read_at.is_none_or(|at| now >= at + READ_INTERVAL) {
            self.read_demand(app).await?;
            self.read_at = Some(now);
            self.observe(app, &table);
        }
        let now = Instant::now();
        let Some(order) = self.scalers.values_mut().find_map(|s| s.next_order(now)) else {
            return Ok(DutyOutcome::Done);
        };
        // The offsets go on where the records have expired.
        let number = self.ledger.next_number().max(self.next_offset + 1);
        let record = ScalingRecord::new(number, &order, OrderState::Ordered, turn.holder.fence);
        self.append(app, &record).await?;
        self.log_order(&order, number);
        Ok(self.send(app, turn).await)
    }

    /// Appends a record and reads it back.
    async fn append(&mut self, app: &App, record: &ScalingRecord) -> Result<(), StoreError> {
        let deadline = Instant::now() + STORE_TIMEOUT;
        let value = [record.encode_to_vec().into()];
        app.store.append(ORDERS, &value, deadline).await?;
        self.read_orders(app).await
    }

    /// Reads the orders to their end.
    async fn read_orders(&mut self, app: &App) -> Result<(), StoreError> {
        loop {
            let deadline = Instant::now() + STORE_TIMEOUT;
            let read =
                app.store.read(ORDERS, self.next_offset, READ_MAX_KB, Duration::ZERO, deadline);
            let read = match read.await {
                Err(StoreError { kind: StoreErrorKind::Expired { oldest }, .. }) => {
                    self.next_offset = oldest;
                    continue;
                }
                read => read?,
            };
            self.next_offset = read.start + read.records.len() as u64;
            for record in read.records {
                match ScalingRecord::decode(record) {
                    Ok(record) => self.ledger.apply(record),
                    Err(e) => log::debug!(event = "record_unreadable", step = "scaling"; "{e}"),
                }
            }
            if self.next_offset >= read.end {
                return Ok(());
            }
        }
    }

    async fn record_answer(&mut self, app: &App) -> Result<(), StoreError> {
        let Some(record) = self.answer.clone() else { return Ok(()) };
        self.append(app, &record).await?;
        self.answer = None;
        Ok(())
    }

    async fn read_demand(&mut self, app: &App) -> Result<(), StoreError> {
        let read = self.demand_reader.read(app.store.as_ref(), Duration::ZERO, STORE_TIMEOUT);
        let records = read.await?.into_records();
        let now = Instant::now();
        for record in records {
            match record.value.as_deref().map(HostDemand::decode) {
                Some(Ok(report)) => self.demand.apply(&record.key, report, now),
                Some(Err(e)) => {
                    log::debug!(event = "record_unreadable", step = "scaling"; "{e}");
                }
                None => self.demand.remove(&record.key),
            }
        }
        self.demand.remove_expired(now);
        Ok(())
    }

    /// Updates what the autoscalers know.
    fn observe(&mut self, app: &App, table: &RouteTable) {
        let now = Instant::now();
        self.scalers.retain(|service, _| table.scaling.contains_key(service));
        for (service, limits) in &table.scaling {
            let (mut seen, items) = self.demand.observation(service, unix_ms(), now);
            seen.engines = engines(app, service, seen.callers.saturating_add(items));
            let ledger = &self.ledger;
            let scaler = self.scalers.entry(service.clone()).or_insert_with(|| {
                let policy = ScalingPolicy { service: service.clone(), limits: limits.clone() };
                let mut scaler = Autoscaler::new(policy);
                for order in ledger.accepted().filter(|order| order.service == *service) {
                    scaler.restore(&order.order(), now);
                }
                scaler
            });
            scaler.set_limits(limits);
            scaler.observe(&seen, now);
            let state = scaler.state();
            app.metrics.gauge("scaling.demand", service, u64::from(state.demand));
            app.metrics.gauge("scaling.supply", service, u64::from(state.supply));
            app.metrics.gauge("scaling.need", service, u64::from(state.need));
        }
    }

    /// Sends the order without an answer.
    async fn send(&mut self, app: &App, turn: &DutyTurn) -> DutyOutcome {
        let Some(record) = self.ledger.unanswered().cloned() else { return DutyOutcome::Done };
        let order = record.order();
        let deadline = Instant::now() + CALL_TIMEOUT;
        let call = self.context.api().order_capacity(&turn.holder, &order, deadline);
        let answer = match turn.send(app, &self.context, call).await {
            Ok(answer) => answer,
            Err(CallFailure::NotSent) => return DutyOutcome::Done,
            // Repeating a refused order would not change the answer.
            Err(CallFailure::Failed(e)) if e.kind == PlatformApiErrorKind::Refused => {
                CapacityAnswer::Unavailable
            }
            Err(CallFailure::Failed(_)) => return DutyOutcome::PlatformUnavailable,
        };
        let (service, data_centre, count, spot, number) = (
            record.service.as_str(),
            order.data_centre.as_str(),
            order.count,
            order.spot,
            record.number,
        );
        let state = match answer {
            CapacityAnswer::Accepted => {
                app.metrics.count("scaling.accepted", service);
                log::info!(event = "capacity_accepted", step = "scaling", service, data_centre, count, spot, number; "order for engines accepted");
                OrderState::Accepted
            }
            CapacityAnswer::Unavailable => {
                app.metrics.count("scaling.refused", service);
                log::info!(event = "capacity_refused", step = "scaling", service, data_centre, count, spot, number; "order for engines refused");
                OrderState::Refused
            }
        };
        if let Some(scaler) = self.scalers.get_mut(service) {
            scaler.record_answer(&order, answer, Instant::now());
        }
        self.answer = Some(ScalingRecord::new(record.number, &order, state, turn.holder.fence));
        // If that fails, the next turn records it before anything else.
        if let Err(e) = self.record_answer(app).await {
            log::info!(event = "append_failed", step = e.step; "{e}");
        }
        DutyOutcome::Done
    }

    fn log_order(&self, order: &CapacityOrder, number: u64) {
        let Some(state) = self.scalers.get(&order.service).map(Autoscaler::state) else { return };
        let (service, data_centre, count, spot) =
            (order.service.as_str(), order.data_centre.as_str(), order.count, order.spot);
        let (demand, held_demand, supply, need) =
            (state.demand, state.held_demand, state.supply, state.need);
        let reason = state.reason.as_str();
        log::info!(event = "capacity_ordered", step = "scaling", service, data_centre, count, spot, number, demand, held_demand, supply, need, reason; "engines ordered");
    }
}

#[async_trait]
impl Duty for ScalingDuty {
    async fn observe(&mut self, _app: &Arc<App>) {}

    async fn act(&mut self, app: &Arc<App>, turn: &DutyTurn) -> DutyOutcome {
        self.step(app, turn).await.unwrap_or_else(|e| {
            log::debug!(event = "store_away", step = e.step; "{e}");
            DutyOutcome::Done
        })
    }
}

/// Returns the engines of a service, with the requests at them evenly spread.
fn engines(app: &App, service: &SmolStr, requests: u32) -> Vec<EngineState> {
    let targets = app.state.targets.load();
    let targets = targets.of_kind(&TargetKind::Service { name: service.clone() });
    let mut token_times: Vec<_> = targets.iter().filter_map(|t| t.token_time_us()).collect();
    token_times.sort_unstable();
    let median_us = token_times.get(token_times.len() / 2).copied();
    let heartbeats = app.state.heartbeats.load();
    let present: Vec<_> = heartbeats.iter().filter(|h| h.service == *service).collect();
    let count = u32::try_from(present.len()).unwrap_or(u32::MAX).max(1);
    let engine = |(heartbeat, index): (&&cassia_route::Heartbeat, u32)| {
        let target = targets.iter().find(|target| target.info.id == heartbeat.id);
        EngineState {
            data_centre: heartbeat.data_centre.clone(),
            spot: heartbeat.spot,
            leaving: heartbeat.leaving,
            slots: heartbeat.slots,
            load: requests / count + u32::from(index < requests % count),
            speed: target.map_or(1.0, |target| speed(target, median_us)),
        }
    };
    present.iter().zip(0..).map(engine).collect()
}

/// Returns the capacity of an engine as a part of that of the others.
fn speed(target: &Target, median_us: Option<u32>) -> f64 {
    match median_us.zip(target.token_time_us()) {
        Some((median, own)) if target.is_slow() => (f64::from(median) / f64::from(own)).min(1.0),
        _ => 1.0,
    }
}
