//! The commands on contracts.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_contract::Contract;
use cassia_fold::Applied;
use cassia_fold::CONFIG_STREAM;
use cassia_fold::ConfigRecord;
use cassia_fold::ContractTable;
use cassia_fold::Publish;
use cassia_fold::Refusal;
use cassia_follow::Replica;
use cassia_ids::Offset;
use cassia_platform::HttpPlatform;
use cassia_platform::Log;
use cassia_platform::PlatformError;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::sleep;

use crate::Ended;
use crate::Printer;

/// How long a publish is tried in all.
const PUBLISH_LIMIT: Duration = Duration::from_secs(20);
/// How long its record may take to show up after an append.
const READ_BACK: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(200);

/// A change that the fold has judged.
struct Judged {
    offset: Offset,
    publish: Publish,
    applied: Applied,
}

/// A fold of the whole stream as it stands.
struct Reader {
    log: Box<dyn Log>,
    follow: Replica<ContractTable>,
}

impl Reader {
    fn new(log: SocketAddr) -> Self {
        let log = Box::new(HttpPlatform::default().log(log));
        Self { log, follow: Replica::default() }
    }

    /// Reads to the end and gives the changes that were judged on the way.
    async fn catch_up(&mut self) -> Result<Vec<Judged>, PlatformError> {
        let mut judged = Vec::new();
        loop {
            let from = self.follow.next_read().offset();
            let page = self.log.read(CONFIG_STREAM, from, Duration::ZERO, READ_BACK).await?;
            self.follow.set_bounds(page.oldest, page.end);
            let done = page.records.is_empty();
            for r in page.records {
                let record = ConfigRecord::decode(&r.record);
                let applied = self.follow.apply(page.oldest, r.offset, record.as_ref());
                if let (Some(applied), Some(ConfigRecord::Publish(publish))) = (applied, record) {
                    judged.push(Judged { offset: r.offset, publish, applied });
                }
            }
            if done {
                return Ok(judged);
            }
        }
    }

    fn revision(&self, customer: &str) -> u64 {
        self.follow.state().get(customer).map_or(0, |f| f.revision)
    }
}

fn read_contract(out: &Printer, file: &Path) -> Option<Contract> {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            out.failure(&format!("read {}: {e}", file.display()));
            return None;
        }
    };
    match cassia_contract::parse(&text) {
        Ok(contract) => Some(contract),
        Err(e) => {
            out.failure(&format!("{}: {e}", file.display()));
            None
        }
    }
}

pub(crate) fn check(out: &Printer, file: &Path) -> Ended {
    let Some(contract) = read_contract(out, file) else {
        return Ended::Faulty;
    };
    out.result("the contract is good", &json!({"customer": contract.customer, "good": true}));
    Ended::Done
}

pub(crate) fn schema(out: &Printer) -> Ended {
    let schema = json!(cassia_contract::schema());
    let text = serde_json::to_string_pretty(&schema).unwrap_or_default();
    out.result(&text, &schema);
    Ended::Done
}

pub(crate) async fn publish(
    out: &Printer,
    log: SocketAddr,
    revision: Option<u64>,
    file: &Path,
) -> Ended {
    let Some(contract) = read_contract(out, file) else {
        return Ended::Faulty;
    };
    let customer = contract.customer.clone();
    change(out, log, revision, &customer, Some(Arc::new(contract))).await
}

pub(crate) async fn withdraw(
    out: &Printer,
    log: SocketAddr,
    revision: Option<u64>,
    customer: &str,
) -> Ended {
    change(out, log, revision, customer, None).await
}

/// Appends a change until the log shows what became of it.
///
/// The answer to an append may be lost after it took effect; the publish id
/// stays the same, so that however many records there are, one counts.
async fn change(
    out: &Printer,
    log: SocketAddr,
    revision: Option<u64>,
    customer: &str,
    contract: Option<Arc<Contract>>,
) -> Ended {
    let give_up = Instant::now() + PUBLISH_LIMIT;
    let mut reader = Reader::new(log);
    if let Err(e) = reader.catch_up().await {
        out.failure(&format!("{e}; nothing was published"));
        return Ended::Unreachable;
    }
    let publish = Publish {
        publish_id: format_smolstr!("{:016x}", rand::random::<u64>()),
        customer: customer.into(),
        base_revision: revision.unwrap_or_else(|| reader.revision(customer)),
        contract,
    };
    while Instant::now() < give_up {
        let record = ConfigRecord::Publish(publish.clone()).encode();
        // Whether it took effect shows when the stream is read.
        let _ = reader.log.append(CONFIG_STREAM, record).await;
        if let Some(judged) = await_judgement(&mut reader, &publish.publish_id).await {
            return report(out, customer, &judged);
        }
        sleep(PAUSE).await;
    }
    out.failure("the log can't be reached; the change may be in force later, see `history`");
    Ended::Unreachable
}

async fn await_judgement(reader: &mut Reader, publish_id: &SmolStr) -> Option<Judged> {
    let until = Instant::now() + READ_BACK;
    while Instant::now() < until {
        if let Ok(judged) = reader.catch_up().await
            && let Some(ours) = judged.into_iter().find(|j| j.publish.publish_id == *publish_id)
        {
            return Some(ours);
        }
        sleep(PAUSE).await;
    }
    None
}

fn report(out: &Printer, customer: &str, judged: &Judged) -> Ended {
    match &judged.applied {
        Applied::Accepted { revision } | Applied::Duplicate { revision } => {
            let text = format!("{customer}: revision {revision} is in force");
            out.result(&text, &json!({"customer": customer, "revision": revision}));
            Ended::Done
        }
        Applied::Refused(refusal) => {
            out.failure(&format!("{customer}: {}", refusal_text(refusal)));
            Ended::Refused
        }
        Applied::Skipped => Ended::Faulty,
    }
}

fn refusal_text(refusal: &Refusal) -> String {
    match refusal {
        Refusal::RevisionConflict { revision } => {
            format!("revision {revision} is in force, and not the one that was to be amended")
        }
        Refusal::AlreadyRefused => "the same change was refused before".to_owned(),
        Refusal::Invalid { faults } => format!("the contract is faulty: {faults}"),
        Refusal::SharesExceeded { percent } => {
            format!("the customers' shares would come to {percent}%")
        }
    }
}

pub(crate) async fn show(out: &Printer, log: SocketAddr, customer: &str) -> Ended {
    let mut reader = Reader::new(log);
    if let Err(e) = reader.catch_up().await {
        out.failure(&e.to_string());
        return Ended::Unreachable;
    }
    let in_force = reader.follow.state().get(customer);
    let Some((revision, contract)) =
        in_force.and_then(|f| f.contract.as_ref().map(|c| (f.revision, c)))
    else {
        out.failure(&format!("{customer} has no contract in force"));
        return Ended::Refused;
    };
    let value = json!({"revision": revision, "contract": contract});
    out.result(&serde_json::to_string_pretty(&value).unwrap_or_default(), &value);
    Ended::Done
}

pub(crate) async fn history(out: &Printer, log: SocketAddr, customer: &str) -> Ended {
    let mut reader = Reader::new(log);
    let judged = match reader.catch_up().await {
        Ok(judged) => judged,
        Err(e) => {
            out.failure(&e.to_string());
            return Ended::Unreachable;
        }
    };
    for j in judged.iter().filter(|j| j.publish.customer == customer) {
        let what = match &j.applied {
            Applied::Accepted { revision } => format!("in force as revision {revision}"),
            Applied::Duplicate { revision } => format!("repeats revision {revision}"),
            Applied::Refused(refusal) => format!("refused: {}", refusal_text(refusal)),
            Applied::Skipped => "passed over".to_owned(),
        };
        let (offset, amends) = (j.offset, j.publish.base_revision);
        let text = format!("{offset}: amends {amends}: {what}");
        out.result(&text, &json!({"offset": offset, "amends": amends, "outcome": what}));
    }
    Ended::Done
}
