//! The processes, the targets and the ways between them, and what the faults
//! do to them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cassia_standin::Proxy;
use cassia_standin::ResponseFault;
use cassia_standin::StoreFaults;
use cassia_standin::TargetFaults;
use cassia_standin::TargetSpec;
use cassia_standin::TargetStandin;
use cassia_trials::ENGINE_MODEL;
use cassia_trials::PlatformEnv;
use cassia_trials::Process;
use cassia_trials::platform_config;
use futures::future::join_all;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use crate::Fault;
use crate::HostFault;
use crate::Planned;
use crate::StoreFault;
use crate::TargetFault;
use crate::Witness;

/// How long a process may take to stop as planned: its own limit, and some.
const STOP_LIMIT: Duration = Duration::from_secs(10);
/// How much later the store and the engines do what they do late.
const LATE: Duration = Duration::from_secs(2);
/// How long a partition stays before it is dealt out anew: owners notice it.
const AROUND: Duration = Duration::from_millis(600);
const BEAT_EVERY: Duration = Duration::from_millis(150);
const EVENTS: u64 = 6;

/// Where callers reach one incarnation of a process.
#[derive(Clone, Debug)]
pub(crate) struct Door {
    /// The process and its incarnation.
    pub(crate) process: String,
    pub(crate) listen: SocketAddr,
    host: usize,
    incarnation: u32,
}

#[derive(Clone, Debug)]
struct Life {
    listen: SocketAddr,
    link: SocketAddr,
    incarnation: u32,
    ready: bool,
    /// When this incarnation was first ready.
    ready_since: Option<Instant>,
    stopping: Option<Instant>,
    /// Whether it was killed or suspended.
    harmed: bool,
}

impl Life {
    fn note_ready(&mut self, ready: bool) {
        self.ready = ready;
        if ready {
            self.ready_since.get_or_insert_with(Instant::now);
        }
    }
}

/// A host: its process, and its way to the store.
struct Host {
    name: String,
    way: Proxy,
    /// Held by a fault while it lasts.
    process: tokio::sync::Mutex<Process>,
    life: Mutex<Life>,
}

/// A target behind a way that can be harmed.
struct Target {
    itself: Arc<TargetStandin>,
    way: Proxy,
    harmed: tokio::sync::Mutex<()>,
}

/// All of it.
pub(crate) struct World {
    pub(crate) fleet: PlatformEnv,
    pub(crate) witness: Arc<Witness>,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    store_harmed: tokio::sync::Mutex<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Host {
    async fn start(fleet: &PlatformEnv, number: usize) -> anyhow::Result<Self> {
        let name = format!("h{number}");
        let way = Proxy::start(fleet.store.addr()).await?;
        let process = fleet.start_process_with_store(&name, way.addr()).await?;
        let (listen, link) = (process.listen, process.link);
        let life = Life {
            listen,
            link,
            incarnation: 0,
            ready: true,
            ready_since: Some(Instant::now()),
            stopping: None,
            harmed: false,
        };
        Ok(Self { name, way, process: tokio::sync::Mutex::new(process), life: Mutex::new(life) })
    }

    /// Starts the process again after a pause.
    async fn again(&self, process: &mut Process, pause: Duration) -> io::Result<()> {
        lock(&self.life).ready = false;
        sleep(pause).await;
        let mut life = lock(&self.life);
        life.incarnation += 1;
        (life.ready_since, life.stopping, life.harmed) = (None, None, false);
        process.restart()
    }
}

impl World {
    /// Starts so many processes, and targets of each kind.
    pub(crate) async fn start(
        witness: Arc<Witness>,
        processes: usize,
        engines: usize,
        services: usize,
    ) -> anyhow::Result<Self> {
        let fleet = PlatformEnv::start().await?;
        witness.configured(1, true);
        let mut targets = Vec::new();
        for n in 0..engines + services {
            targets.push(Target::start(n, n < engines).await?);
        }
        for target in &targets {
            target.beat(&fleet);
        }
        let mut hosts = Vec::new();
        for n in 0..processes {
            hosts.push(Host::start(&fleet, n).await?);
        }
        let store_harmed = tokio::sync::Mutex::new(());
        Ok(Self { fleet, witness, hosts, targets, store_harmed })
    }

    /// Lets the targets beat and asks the processes whether they are ready, as
    /// the balancer does; never ends.
    pub(crate) async fn keep_up(&self) {
        let beats = async {
            loop {
                for target in &self.targets {
                    target.beat(&self.fleet);
                }
                sleep(BEAT_EVERY).await;
            }
        };
        let probes = join_all(self.hosts.iter().map(|host| async {
            loop {
                let link = lock(&host.life).link;
                let ready = self.fleet.send("GET", link, "/v1/ready", &[], "").await.status == 200;
                lock(&host.life).note_ready(ready);
                sleep(BEAT_EVERY).await;
            }
        }));
        tokio::join!(beats, probes);
    }

    fn door(&self, number: usize) -> Door {
        let host = &self.hosts[number];
        let life = lock(&host.life);
        Door {
            process: format!("{}#{}", host.name, life.incarnation),
            listen: life.listen,
            host: number,
            incarnation: life.incarnation,
        }
    }

    /// Picks a process that is ready as far as is known; none if there is none.
    pub(crate) fn any_door(&self) -> Option<Door> {
        let ready = |n: &usize| lock(&self.hosts[*n].life).ready;
        let ready: Vec<_> = (0..self.hosts.len()).filter(ready).collect();
        ready.choose(&mut rand::rng()).map(|n| self.door(*n))
    }

    /// Lists all processes, ready or not.
    pub(crate) fn doors(&self) -> Vec<Door> {
        (0..self.hosts.len()).map(|n| self.door(n)).collect()
    }

    /// Whether a request was owed an answer: its process had been ready, was not
    /// killed or suspended, and if it was being stopped then for less than so
    /// long.
    pub(crate) fn owed(&self, door: &Door, sent: Instant, lag: Duration) -> bool {
        let life = lock(&self.hosts[door.host].life);
        let in_time = life.stopping.is_none_or(|at| sent < at + lag);
        let was_ready = life.ready_since.is_some_and(|since| since < sent);
        life.incarnation == door.incarnation && was_ready && !life.harmed && in_time
    }

    /// Lists the targets.
    pub(crate) fn targets(&self) -> impl Iterator<Item = &Arc<TargetStandin>> {
        self.targets.iter().map(|target| &target.itself)
    }

    /// Whether all engines have a version.
    pub(crate) fn engines_have(&self, version: u64) -> bool {
        self.targets().filter(|t| t.is_engine()).all(|engine| engine.version() == version)
    }

    /// Lets a planned fault happen, from its beginning to its end. One that
    /// meets a process, a target or a store in another fault is left out.
    pub(crate) async fn suffer(&self, planned: Planned) -> anyhow::Result<()> {
        sleep(planned.at).await;
        match planned.fault {
            Fault::Host(number, fault) => {
                self.harm_host(&self.hosts[number], fault, planned.lasts).await?;
            }
            Fault::AllHosts(fault) => {
                let all = self.hosts.iter().map(|h| self.harm_host(h, fault, planned.lasts));
                join_all(all).await.into_iter().collect::<anyhow::Result<()>>()?;
            }
            Fault::Target(number, fault) => {
                self.harm_target(&self.targets[number], fault, planned.lasts).await;
            }
            Fault::Store(fault) => self.harm_store(fault, planned.lasts).await,
        }
        Ok(())
    }

    async fn harm_host(
        &self,
        host: &Host,
        fault: HostFault,
        lasts: Duration,
    ) -> anyhow::Result<()> {
        let Ok(mut process) = host.process.try_lock() else {
            self.witness.count("faults left out");
            return Ok(());
        };
        self.witness.count("faults of processes");
        match fault {
            HostFault::Kill => {
                lock(&host.life).harmed = true;
                process.kill();
                host.again(&mut process, lasts).await?;
            }
            HostFault::Stop => {
                let was_ready = {
                    let mut life = lock(&host.life);
                    life.stopping = Some(Instant::now());
                    life.ready_since.is_some()
                };
                process.terminate();
                match process.wait(STOP_LIMIT).await {
                    Some(status) if status.success() => {}
                    // One that has not begun to listen for the order holds
                    // nothing yet, and just ends.
                    Some(_) if !was_ready => self.witness.count("stops before the start"),
                    ended => self.witness.broken("stop", &format!("{}: {ended:?}", host.name)),
                }
                host.again(&mut process, lasts).await?;
            }
            HostFault::Freeze => {
                lock(&host.life).harmed = true;
                process.freeze();
                sleep(lasts).await;
                process.resume();
            }
            HostFault::CutStore(to, from) => {
                host.way.set_blocked_directions(to, from);
                sleep(lasts).await;
                host.way.set_blocked(false);
            }
            HostFault::SlowStore(delay_ms) => {
                host.way.set_delay_ms(delay_ms);
                sleep(lasts).await;
                host.way.set_delay_ms(0);
            }
            HostFault::ResetStore => host.way.close_connections(),
            HostFault::SilenceStore => host.way.stall_connections(),
        }
        Ok(())
    }

    async fn harm_target(&self, target: &Target, fault: TargetFault, lasts: Duration) {
        let Ok(_held) = target.harmed.try_lock() else {
            self.witness.count("faults left out");
            return;
        };
        self.witness.count("faults of targets");
        let answers = |answers| TargetFaults { response: answers, ..TargetFaults::default() };
        let faults = match fault {
            TargetFault::Failing => answers(ResponseFault::Error),
            TargetFault::Full => answers(ResponseFault::Busy),
            TargetFault::Silent => answers(ResponseFault::Hang),
            TargetFault::Foreign => answers(ResponseFault::WrongId),
            TargetFault::CutsStreams(events) => {
                TargetFaults { reset_after_events: Some(events), ..TargetFaults::default() }
            }
            TargetFault::LateOrders => {
                TargetFaults { order_delay: Some(LATE), ..TargetFaults::default() }
            }
            TargetFault::Reset => return target.way.close_connections(),
            TargetFault::Silence => return target.way.stall_connections(),
        };
        target.itself.set_faults(faults);
        sleep(lasts).await;
        target.itself.set_faults(TargetFaults::default());
    }

    async fn harm_store(&self, fault: StoreFault, lasts: Duration) {
        let Ok(_held) = self.store_harmed.try_lock() else {
            self.witness.count("faults left out");
            return;
        };
        self.witness.count("faults of the store");
        let store = &self.fleet.store;
        let (version, with_extra) = self.witness.newest_configuration();
        let write = |version, with_extra| {
            store.put("keyed.op", "config", Some(&platform_config(version, with_extra)));
        };
        let faults = match fault {
            StoreFault::Busy => StoreFaults { busy: true, ..StoreFaults::default() },
            StoreFault::Silent => StoreFaults { hang: true, ..StoreFaults::default() },
            StoreFault::LosesAnswers(count) => {
                StoreFaults { drop_append_responses: count, ..StoreFaults::default() }
            }
            StoreFault::Late(count) => {
                StoreFaults { delayed_appends: Some((count, LATE)), ..StoreFaults::default() }
            }
            // Around once, so that each owner has its partitions again.
            StoreFault::Rebalance => {
                for _ in 0..self.hosts.len() {
                    store.rebalance();
                    sleep(AROUND).await;
                }
                return;
            }
            StoreFault::Forgets => return store.expire_before("keyed.servers", 0, u64::MAX),
            StoreFault::Configuration => {
                self.witness.configured(version + 1, !with_extra);
                write(version + 1, !with_extra);
                return sleep(lasts).await;
            }
            StoreFault::OldConfiguration => {
                write(version.saturating_sub(1), !with_extra);
                store.put_bytes("keyed.op", "config", b"no configuration");
                sleep(lasts).await;
                return write(version, with_extra);
            }
        };
        store.set_faults(faults);
        sleep(lasts).await;
        store.set_faults(StoreFaults::default());
    }
}

impl Target {
    async fn start(number: usize, generates: bool) -> io::Result<Self> {
        let (kind, service) = if generates { ("e", "lm") } else { ("s", "intake") };
        let spec = TargetSpec {
            id: format!("{kind}{number}"),
            service: service.to_owned(),
            model: generates.then(|| ENGINE_MODEL.to_owned()),
            events: if generates { EVENTS } else { 0 },
            delay: Duration::from_millis(if generates { 80 } else { 5 }),
        };
        let target = Arc::new(TargetStandin::start(spec).await?);
        let way = Proxy::start(target.addr()).await?;
        Ok(Self { itself: target, way, harmed: tokio::sync::Mutex::new(()) })
    }

    /// Writes a heartbeat with the address of the way to it.
    fn beat(&self, fleet: &PlatformEnv) {
        let mut beat = self.itself.heartbeat();
        beat["address"] = self.way.addr().to_string().into();
        fleet.store.put("keyed.servers", self.itself.id(), Some(&beat));
    }
}
