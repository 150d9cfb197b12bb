//! The processes and targets of a run, the proxies between them, and the
//! injection of faults.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cassia_jobs::JOBS_TOPIC;
use cassia_standin::Proxy;
use cassia_standin::ResponseFault;
use cassia_standin::StoreFaults;
use cassia_standin::TargetFaults;
use cassia_standin::TargetSpec;
use cassia_standin::TargetStandin;
use cassia_trials::ENGINE_MODEL;
use cassia_trials::PARTITIONS;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::platform_config;
use futures::future::join_all;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use crate::Checker;
use crate::Fault;
use crate::HostFault;
use crate::PlannedFault;
use crate::StoreFault;
use crate::TargetFault;

/// Maximum duration of a planned stop: the stop limit of a process and slack.
const STOP_LIMIT: Duration = Duration::from_secs(10);
/// Delay of late appends and orders.
const FAULT_DELAY: Duration = Duration::from_secs(2);
/// Time between two rebalances, in which owners notice the first.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(600);
/// Interval of heartbeats and of readiness probes.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
const EVENTS_PER_GENERATION: u64 = 6;
/// Number and size of the records that make the job log long.
const LONG_LOG_RECORDS: usize = 60;
const LONG_LOG_RECORD_BYTES: usize = 100 << 10;
/// Delay of each piece of at most 16 KiB on a slow link, in milliseconds.
const SLOW_LINK_DELAY_MS: u64 = 50;
const SLOW_LINK_DURATION: Duration = Duration::from_secs(5);

/// The address of one incarnation of a process.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// Names the process and its incarnation.
    pub(crate) process: String,
    pub(crate) listen: SocketAddr,
    host: usize,
    incarnation: u32,
}

#[derive(Clone, Debug)]
struct ProcessState {
    listen: SocketAddr,
    link: SocketAddr,
    incarnation: u32,
    ready: bool,
    /// When this incarnation was first ready.
    first_ready: Option<Instant>,
    /// When a planned stop of this incarnation began.
    stopping_since: Option<Instant>,
    /// Whether this incarnation was killed or suspended.
    interrupted: bool,
}

impl ProcessState {
    fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
        if ready {
            self.first_ready.get_or_insert_with(Instant::now);
        }
    }
}

/// A host: its process, and its proxy to the store.
struct Host {
    name: String,
    store_proxy: Proxy,
    /// Locked by a fault while it lasts.
    process: tokio::sync::Mutex<Process>,
    state: Mutex<ProcessState>,
}

/// A target and the proxy in front of it.
struct Target {
    standin: Arc<TargetStandin>,
    proxy: Proxy,
    /// Locked by a fault while it lasts.
    fault_lock: tokio::sync::Mutex<()>,
}

/// Everything that a run starts.
pub(crate) struct Cluster {
    pub(crate) env: PlatformEnv,
    pub(crate) checker: Arc<Checker>,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    /// Locked by a fault of the store while it lasts.
    store_fault_lock: tokio::sync::Mutex<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Host {
    async fn start(env: &PlatformEnv, index: usize) -> anyhow::Result<Self> {
        let name = format!("h{index}");
        let store_proxy = Proxy::start(env.store.addr()).await?;
        let process = env.start_process_with_store(&name, store_proxy.addr()).await?;
        let (listen, link) = (process.listen, process.link);
        let state = ProcessState {
            listen,
            link,
            incarnation: 0,
            ready: true,
            first_ready: Some(Instant::now()),
            stopping_since: None,
            interrupted: false,
        };
        Ok(Self {
            name,
            store_proxy,
            process: tokio::sync::Mutex::new(process),
            state: Mutex::new(state),
        })
    }

    /// Restarts the process after a delay.
    async fn restart_after(&self, process: &mut Process, delay: Duration) -> io::Result<()> {
        lock(&self.state).ready = false;
        sleep(delay).await;
        let mut state = lock(&self.state);
        state.incarnation += 1;
        (state.first_ready, state.stopping_since, state.interrupted) = (None, None, false);
        process.restart()
    }
}

impl Cluster {
    /// Starts this many processes and targets of each kind.
    pub(crate) async fn start(
        checker: Arc<Checker>,
        processes: usize,
        engines: usize,
        services: usize,
    ) -> anyhow::Result<Self> {
        let env = PlatformEnv::start().await?;
        checker.record_config(1, true);
        let mut targets = Vec::new();
        for n in 0..engines + services {
            targets.push(Target::start(n, n < engines).await?);
        }
        for target in &targets {
            target.send_heartbeat(&env);
        }
        let mut hosts = Vec::new();
        for n in 0..processes {
            hosts.push(Host::start(&env, n).await?);
        }
        let store_fault_lock = tokio::sync::Mutex::new(());
        Ok(Self { env, checker, hosts, targets, store_fault_lock })
    }

    /// Sends the heartbeats of the targets and probes the readiness of the
    /// processes, as the load balancer does; never returns.
    pub(crate) async fn run_heartbeats_and_probes(&self) {
        let heartbeats = async {
            loop {
                for target in &self.targets {
                    target.send_heartbeat(&self.env);
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        let probes = join_all(self.hosts.iter().map(|host| async {
            loop {
                let link = lock(&host.state).link;
                let ready = self.env.send("GET", link, "/v1/ready", &[], "").await.status == 200;
                lock(&host.state).set_ready(ready);
                sleep(POLL_INTERVAL).await;
            }
        }));
        tokio::join!(heartbeats, probes);
    }

    fn endpoint(&self, index: usize) -> Endpoint {
        let host = &self.hosts[index];
        let state = lock(&host.state);
        Endpoint {
            process: format!("{}#{}", host.name, state.incarnation),
            listen: state.listen,
            host: index,
            incarnation: state.incarnation,
        }
    }

    /// Picks a random process that was ready at its last probe.
    pub(crate) fn random_endpoint(&self) -> Option<Endpoint> {
        let ready = |n: &usize| lock(&self.hosts[*n].state).ready;
        let ready: Vec<_> = (0..self.hosts.len()).filter(ready).collect();
        ready.choose(&mut rand::rng()).map(|n| self.endpoint(*n))
    }

    /// Returns all processes, ready or not.
    pub(crate) fn endpoints(&self) -> Vec<Endpoint> {
        (0..self.hosts.len()).map(|n| self.endpoint(n)).collect()
    }

    /// Returns whether a request must get a response: its process had been ready
    /// before it was sent, has not been killed or suspended, and had not been
    /// stopping for `lag` or longer.
    pub(crate) fn must_respond(&self, endpoint: &Endpoint, sent: Instant, lag: Duration) -> bool {
        let state = lock(&self.hosts[endpoint.host].state);
        let in_time = state.stopping_since.is_none_or(|at| sent < at + lag);
        let was_ready = state.first_ready.is_some_and(|since| since < sent);
        state.incarnation == endpoint.incarnation && was_ready && !state.interrupted && in_time
    }

    /// Returns the targets.
    pub(crate) fn targets(&self) -> impl Iterator<Item = &Arc<TargetStandin>> {
        self.targets.iter().map(|target| &target.standin)
    }

    /// Returns whether all engines run a weight version.
    pub(crate) fn all_engines_at(&self, version: u64) -> bool {
        self.targets().filter(|t| t.is_engine()).all(|engine| engine.version() == version)
    }

    /// Injects a fault from its start to its end. It is skipped if its process,
    /// its target or the store still has another fault.
    pub(crate) async fn inject(&self, planned: PlannedFault) -> anyhow::Result<()> {
        sleep(planned.start).await;
        match planned.fault {
            Fault::Host(index, fault) => {
                self.inject_host_fault(&self.hosts[index], fault, planned.duration).await?;
            }
            Fault::AllHosts(fault) => {
                let all =
                    self.hosts.iter().map(|h| self.inject_host_fault(h, fault, planned.duration));
                join_all(all).await.into_iter().collect::<anyhow::Result<()>>()?;
            }
            Fault::Target(index, fault) => {
                self.inject_target_fault(&self.targets[index], fault, planned.duration).await;
            }
            Fault::Store(fault) => self.inject_store_fault(fault, planned.duration).await,
            Fault::LongLogRestart => self.restart_with_long_log(planned.duration).await?,
        }
        Ok(())
    }

    async fn restart_with_long_log(&self, duration: Duration) -> anyhow::Result<()> {
        for partition in 0..PARTITIONS {
            for _ in 0..LONG_LOG_RECORDS {
                let record = Bytes::from(vec![0xff; LONG_LOG_RECORD_BYTES]);
                self.env.store.append(JOBS_TOPIC, partition, record);
            }
        }
        let set_delays = |ms| self.hosts.iter().for_each(|host| host.store_proxy.set_delay_ms(ms));
        set_delays(SLOW_LINK_DELAY_MS);
        let kills = self.hosts.iter().map(|h| self.inject_host_fault(h, HostFault::Kill, duration));
        join_all(kills).await.into_iter().collect::<anyhow::Result<()>>()?;
        sleep(SLOW_LINK_DURATION).await;
        set_delays(0);
        Ok(())
    }

    async fn inject_host_fault(
        &self,
        host: &Host,
        fault: HostFault,
        duration: Duration,
    ) -> anyhow::Result<()> {
        let Ok(mut process) = host.process.try_lock() else {
            self.checker.count("faults left out");
            return Ok(());
        };
        self.checker.count("faults of processes");
        match fault {
            HostFault::Kill => {
                lock(&host.state).interrupted = true;
                process.kill();
                host.restart_after(&mut process, duration).await?;
            }
            HostFault::Stop => {
                let was_ready = {
                    let mut state = lock(&host.state);
                    state.stopping_since = Some(Instant::now());
                    state.first_ready.is_some()
                };
                process.terminate();
                match process.wait(STOP_LIMIT).await {
                    Some(status) if status.success() => {}
                    // A process that does not yet handle the signal is ended by
                    // it; it has no requests or jobs yet.
                    Some(_) if !was_ready => self.checker.count("stops before the start"),
                    status => {
                        let detail = format!("{}: {status:?}", host.name);
                        self.checker.record_violation("stop", &detail);
                    }
                }
                host.restart_after(&mut process, duration).await?;
            }
            HostFault::Freeze => {
                lock(&host.state).interrupted = true;
                process.freeze();
                sleep(duration).await;
                process.resume();
            }
            HostFault::BlockStore(requests, responses) => {
                host.store_proxy.set_blocked_directions(requests, responses);
                sleep(duration).await;
                host.store_proxy.set_blocked(false);
            }
            HostFault::DelayStore(delay_ms) => {
                host.store_proxy.set_delay_ms(delay_ms);
                sleep(duration).await;
                host.store_proxy.set_delay_ms(0);
            }
            HostFault::ResetStoreConnections => host.store_proxy.close_connections(),
            HostFault::StallStoreConnections => host.store_proxy.stall_connections(),
        }
        Ok(())
    }

    async fn inject_target_fault(&self, target: &Target, fault: TargetFault, duration: Duration) {
        let Ok(_guard) = target.fault_lock.try_lock() else {
            self.checker.count("faults left out");
            return;
        };
        self.checker.count("faults of targets");
        let with_response = |response| TargetFaults { response, ..TargetFaults::default() };
        let faults = match fault {
            TargetFault::Error => with_response(ResponseFault::Error),
            TargetFault::Busy => with_response(ResponseFault::Busy),
            TargetFault::Hang => with_response(ResponseFault::Hang),
            TargetFault::WrongId => with_response(ResponseFault::WrongId),
            TargetFault::ResetStreams(events) => {
                TargetFaults { reset_after_events: Some(events), ..TargetFaults::default() }
            }
            TargetFault::DelayOrders => {
                TargetFaults { order_delay: Some(FAULT_DELAY), ..TargetFaults::default() }
            }
            TargetFault::ResetConnections => return target.proxy.close_connections(),
            TargetFault::StallConnections => return target.proxy.stall_connections(),
        };
        target.standin.set_faults(faults);
        sleep(duration).await;
        target.standin.set_faults(TargetFaults::default());
    }

    async fn inject_store_fault(&self, fault: StoreFault, duration: Duration) {
        let Ok(_guard) = self.store_fault_lock.try_lock() else {
            self.checker.count("faults left out");
            return;
        };
        self.checker.count("faults of the store");
        let store = &self.env.store;
        let (version, with_extra) = self.checker.newest_config();
        let write = |version, with_extra| {
            store.put("keyed.op", "config", Some(&platform_config(version, with_extra)));
        };
        let faults = match fault {
            StoreFault::Busy => StoreFaults { busy: true, ..StoreFaults::default() },
            StoreFault::Hang => StoreFaults { hang: true, ..StoreFaults::default() },
            StoreFault::DropAppendResponses(count) => {
                StoreFaults { drop_append_responses: count, ..StoreFaults::default() }
            }
            StoreFault::DelayAppends(count) => StoreFaults {
                delayed_appends: Some((count, FAULT_DELAY)),
                ..StoreFaults::default()
            },
            // One full rotation, after which each owner has its partitions again.
            StoreFault::Rebalance => {
                for _ in 0..self.hosts.len() {
                    store.rebalance();
                    sleep(REBALANCE_INTERVAL).await;
                }
                return;
            }
            StoreFault::ExpireHeartbeats => {
                return store.expire_before("keyed.servers", 0, u64::MAX);
            }
            StoreFault::ChangeConfig => {
                self.checker.record_config(version + 1, !with_extra);
                write(version + 1, !with_extra);
                return sleep(duration).await;
            }
            StoreFault::WriteStaleConfig => {
                write(version.saturating_sub(1), !with_extra);
                store.put_bytes("keyed.op", "config", b"no configuration");
                sleep(duration).await;
                return write(version, with_extra);
            }
        };
        store.set_faults(faults);
        sleep(duration).await;
        store.set_faults(StoreFaults::default());
    }
}

impl Target {
    async fn start(index: usize, is_engine: bool) -> io::Result<Self> {
        let (prefix, service) = if is_engine { ("e", "lm") } else { ("s", "intake") };
        let spec = TargetSpec {
            id: format!("{prefix}{index}"),
            service: service.to_owned(),
            model: is_engine.then(|| ENGINE_MODEL.to_owned()),
            events: if is_engine { EVENTS_PER_GENERATION } else { 0 },
            delay: Duration::from_millis(if is_engine { 80 } else { 5 }),
        };
        let standin = Arc::new(TargetStandin::start(spec).await?);
        let proxy = Proxy::start(standin.addr()).await?;
        Ok(Self { standin, proxy, fault_lock: tokio::sync::Mutex::new(()) })
    }

    /// Writes a heartbeat with the address of the proxy.
    fn send_heartbeat(&self, env: &PlatformEnv) {
        let mut heartbeat = self.standin.heartbeat();
        heartbeat["address"] = self.proxy.addr().to_string().into();
        env.store.put("keyed.servers", self.standin.id(), Some(&heartbeat));
    }
}
