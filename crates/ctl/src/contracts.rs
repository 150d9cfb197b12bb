//! The commands that check, publish and show contracts.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cassia_clients::HttpPlatform;
use cassia_clients::Log;
use cassia_clients::PlatformError;
use cassia_config::Applied;
use cassia_config::CONFIG_STREAM;
use cassia_config::ConfigRecord;
use cassia_config::ContractTable;
use cassia_config::Publish;
use cassia_config::Refusal;
use cassia_contract::Contract;
use cassia_ids::Offset;
use cassia_replica::Replica;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::sleep;

use crate::Outcome;
use crate::Printer;

/// Time limit on a publish, retries included.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(20);
/// Limit on a read of the log, and on waiting until an appended record is read
/// back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A change read from the log, with its effect on the contracts.
struct AppliedPublish {
    offset: Offset,
    publish: Publish,
    applied: Applied,
}

/// Replica of the contracts in force, read from the configuration stream.
struct ConfigReader {
    log: Box<dyn Log>,
    replica: Replica<ContractTable>,
}

impl ConfigReader {
    fn new(log: SocketAddr) -> Self {
        let log = Box::new(HttpPlatform::default().log(log));
        Self { log, replica: Replica::default() }
    }

    /// Reads to the end of the stream and returns the changes read on the way.
    async fn catch_up(&mut self) -> Result<Vec<AppliedPublish>, PlatformError> {
        let mut changes = Vec::new();
        loop {
            let from = self.replica.next_read().offset();
            let page =
                self.log.read(CONFIG_STREAM, from, Duration::ZERO, READ_BACK_TIMEOUT).await?;
            self.replica.set_bounds(page.oldest, page.end);
            let at_end = page.records.is_empty();
            for r in page.records {
                let record = ConfigRecord::decode(&r.record);
                let applied = self.replica.apply(page.oldest, r.offset, record.as_ref());
                if let (Some(applied), Some(ConfigRecord::Publish(publish))) = (applied, record) {
                    changes.push(AppliedPublish { offset: r.offset, publish, applied });
                }
            }
            if at_end {
                return Ok(changes);
            }
        }
    }

    fn revision(&self, customer: &str) -> u64 {
        self.replica.state().get(customer).map_or(0, |entry| entry.revision)
    }
}

fn read_contract(out: &Printer, file: &Path) -> Option<Contract> {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            out.error(&format!("can't read {}: {e}", file.display()));
            return None;
        }
    };
    match cassia_contract::parse(&text) {
        Ok(contract) => Some(contract),
        Err(e) => {
            out.error(&format!("{}: {e}", file.display()));
            None
        }
    }
}

pub(crate) fn check(out: &Printer, file: &Path) -> Outcome {
    let Some(contract) = read_contract(out, file) else {
        return Outcome::Invalid;
    };
    out.result("the contract is valid", &json!({"customer": contract.customer, "good": true}));
    Outcome::Done
}

pub(crate) fn schema(out: &Printer) -> Outcome {
    let schema = json!(cassia_contract::schema());
    let text = serde_json::to_string_pretty(&schema).unwrap_or_default();
    out.result(&text, &schema);
    Outcome::Done
}

pub(crate) async fn publish(
    out: &Printer,
    log: SocketAddr,
    revision: Option<u64>,
    file: &Path,
) -> Outcome {
    let Some(contract) = read_contract(out, file) else {
        return Outcome::Invalid;
    };
    let customer = contract.customer.clone();
    publish_change(out, log, revision, &customer, Some(Arc::new(contract))).await
}

pub(crate) async fn withdraw(
    out: &Printer,
    log: SocketAddr,
    revision: Option<u64>,
    customer: &str,
) -> Outcome {
    publish_change(out, log, revision, customer, None).await
}

/// Appends a change to the log until its outcome can be read back.
///
/// The response to an append may be lost after the record was stored. Retries
/// use the same publish id, so that only one of the records takes effect.
async fn publish_change(
    out: &Printer,
    log: SocketAddr,
    revision: Option<u64>,
    customer: &str,
    contract: Option<Arc<Contract>>,
) -> Outcome {
    let deadline = Instant::now() + PUBLISH_TIMEOUT;
    let mut reader = ConfigReader::new(log);
    if let Err(e) = reader.catch_up().await {
        out.error(&format!("{e}; nothing was published"));
        return Outcome::Unreachable;
    }
    let publish = Publish {
        publish_id: format_smolstr!("{:016x}", rand::random::<u64>()),
        customer: customer.into(),
        base_revision: revision.unwrap_or_else(|| reader.revision(customer)),
        contract,
    };
    while Instant::now() < deadline {
        let record = ConfigRecord::Publish(publish.clone()).encode();
        // Errors are ignored: reading the stream shows whether it was stored.
        let _ = reader.log.append(CONFIG_STREAM, record).await;
        if let Some(change) = read_back(&mut reader, &publish.publish_id).await {
            return report(out, customer, &change.applied);
        }
        sleep(RETRY_PAUSE).await;
    }
    out.error("the log can't be reached; the change may still take effect, see `history`");
    Outcome::Unreachable
}

/// Reads the log until it contains a publish; `None` if that takes too long.
async fn read_back(reader: &mut ConfigReader, publish_id: &SmolStr) -> Option<AppliedPublish> {
    let deadline = Instant::now() + READ_BACK_TIMEOUT;
    while Instant::now() < deadline {
        if let Ok(changes) = reader.catch_up().await
            && let Some(change) = changes.into_iter().find(|c| c.publish.publish_id == *publish_id)
        {
            return Some(change);
        }
        sleep(RETRY_PAUSE).await;
    }
    None
}

fn report(out: &Printer, customer: &str, applied: &Applied) -> Outcome {
    match applied {
        Applied::Accepted { revision } | Applied::Duplicate { revision } => {
            let text = format!("{customer}: revision {revision} is in force");
            out.result(&text, &json!({"customer": customer, "revision": revision}));
            Outcome::Done
        }
        Applied::Refused(refusal) => {
            out.error(&format!("{customer}: {}", refusal_text(refusal)));
            Outcome::Refused
        }
        Applied::Skipped => Outcome::Invalid,
    }
}

fn refusal_text(refusal: &Refusal) -> String {
    match refusal {
        Refusal::RevisionConflict { revision } => {
            format!("revision {revision} is in force, which is not the revision to amend")
        }
        Refusal::AlreadyRefused => "the same change was refused before".to_owned(),
        Refusal::Invalid { faults } => format!("the contract is invalid: {faults}"),
        Refusal::SharesExceeded { percent } => {
            format!("the customers' shares would add up to {percent}%")
        }
    }
}

pub(crate) async fn show(out: &Printer, log: SocketAddr, customer: &str) -> Outcome {
    let mut reader = ConfigReader::new(log);
    if let Err(e) = reader.catch_up().await {
        out.error(&e.to_string());
        return Outcome::Unreachable;
    }
    let entry = reader.replica.state().get(customer);
    let Some((revision, contract)) =
        entry.and_then(|e| e.contract.as_ref().map(|c| (e.revision, c)))
    else {
        out.error(&format!("{customer} has no contract in force"));
        return Outcome::Refused;
    };
    let value = json!({"revision": revision, "contract": contract});
    out.result(&serde_json::to_string_pretty(&value).unwrap_or_default(), &value);
    Outcome::Done
}

pub(crate) async fn history(out: &Printer, log: SocketAddr, customer: &str) -> Outcome {
    let mut reader = ConfigReader::new(log);
    let changes = match reader.catch_up().await {
        Ok(changes) => changes,
        Err(e) => {
            out.error(&e.to_string());
            return Outcome::Unreachable;
        }
    };
    for change in changes.iter().filter(|c| c.publish.customer == customer) {
        let outcome = match &change.applied {
            Applied::Accepted { revision } => format!("in force as revision {revision}"),
            Applied::Duplicate { revision } => format!("repeats revision {revision}"),
            Applied::Refused(refusal) => format!("refused: {}", refusal_text(refusal)),
            Applied::Skipped => "skipped".to_owned(),
        };
        let (offset, amends) = (change.offset, change.publish.base_revision);
        let text = format!("{offset}: amends {amends}: {outcome}");
        out.result(&text, &json!({"offset": offset, "amends": amends, "outcome": outcome}));
    }
    Outcome::Done
}
