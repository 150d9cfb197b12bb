//! Steps that the trials on the platform's stand-ins share.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::PlatformEnv;
use crate::Process;
use crate::eventually;

/// Checks that each item stands once, with its whole text, score and versions.
///
/// # Panics
///
/// It does not.
pub fn assert_complete(results: &[Value], id: &str, items: usize) {
    let ids: BTreeSet<_> = results.iter().map(|r| r["instance_id"].as_str()).collect();
    assert_eq!(ids.len(), items, "each item stands once");
    for result in results {
        let item = result["instance_id"].as_str().unwrap_or_default();
        assert_eq!(result["state"], "completed", "{result}");
        let pieces: Vec<_> = (0..6).map(|n| format!("piece {n} of {item}")).collect();
        assert_eq!(result["output"], pieces.join("\n"), "the whole text, in order");
        assert_eq!(result["score"], format!("stamp-{item}-score"), "{id}");
        assert!(!result["versions"].as_array().expect("versions").is_empty());
    }
}

/// Waits until one of the processes owns a job's partition.
async fn wait_for_owners(fleet: &PlatformEnv) -> anyhow::Result<()> {
    let both = || async { (0..2).all(|p| fleet.store.owner("runners", p).is_some()) };
    anyhow::ensure!(eventually(both).await, "no owner");
    Ok(())
}

/// Splits processes into the owner of the partition with this job's items and
/// the others.
///
/// # Panics
///
/// The owner is none of them.
#[must_use]
pub fn split_owner(
    fleet: &PlatformEnv,
    job: &str,
    processes: Vec<(String, Process)>,
) -> (Process, Vec<Process>) {
    let partition = cassia_jobs::partition(job, 2);
    let owner = fleet.store.owner("runners", partition).expect("an owner");
    let (mut first, others): (Vec<_>, Vec<_>) =
        processes.into_iter().partition(|(host, _)| *host == owner);
    let (_, first) = first.pop().expect("the owner is one of them");
    (first, others.into_iter().map(|(_, process)| process).collect())
}

/// Starts processes and waits until every partition has an owner.
///
/// # Errors
///
/// One can't be started, or nobody owns a partition.
pub async fn start_processes(
    fleet: &PlatformEnv,
    count: usize,
) -> anyhow::Result<Vec<(String, Process)>> {
    let mut processes = Vec::new();
    for n in 0..count {
        let host = format!("h{n}");
        processes.push((host.clone(), fleet.start_process(&host).await?));
    }
    wait_for_owners(fleet).await?;
    Ok(processes)
}

/// Waits until a process answers callers' requests.
///
/// # Errors
///
/// It never does.
pub async fn wait_until_serving(fleet: &PlatformEnv, process: &Process) -> anyhow::Result<()> {
    let answered = || async { fleet.request(process, "/quote/1", "first").await.status == 200 };
    anyhow::ensure!(eventually(answered).await, "never answered");
    Ok(())
}
