//! The customer of a job in records and snapshots, of this and of earlier releases.

use bytes::Bytes;
use cassia_jobs::Item;
use cassia_jobs::JobRecord;
use cassia_jobs::JobTable;
use cassia_jobs::Submission;
use prost::Message;
use rstest::rstest;

/// A submission as an earlier release encodes it.
#[derive(Clone, Eq, Message, PartialEq)]
struct OldSubmission {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(message, repeated, tag = "9")]
    items: Vec<Item>,
}

/// A part of a submission as an earlier release encodes it.
#[derive(Clone, Eq, Message, PartialEq)]
struct OldPart {
    #[prost(string, tag = "1")]
    job: String,
    #[prost(uint32, tag = "2")]
    part: u32,
    #[prost(uint32, tag = "3")]
    part_count: u32,
    #[prost(uint32, tag = "4")]
    item_count: u32,
    #[prost(bytes = "bytes", tag = "5")]
    data: Bytes,
    #[prost(uint64, tag = "6")]
    accepted_ms: u64,
}

#[derive(Clone, Eq, Message, PartialEq)]
struct OldEnvelope {
    #[prost(message, optional, tag = "1")]
    part: Option<OldPart>,
}

fn submission(customer: &str) -> Submission {
    Submission {
        id: "j".to_owned(),
        accepted_ms: 7,
        items: vec![Item { id: "i".to_owned(), body: vec![1; 3_000].into(), ..Item::default() }],
        customer: customer.to_owned(),
        ..Submission::default()
    }
}

fn apply(records: &[Bytes]) -> JobTable {
    let mut table = JobTable::default();
    for record in records {
        table.apply(table.next_offset(), record.len(), &JobRecord::decode(record.clone()));
    }
    table
}

fn customer_of(table: &JobTable) -> Option<&str> {
    table.job("j").map(|job| job.customer.as_str())
}

/// Guards against a job that its customer can no longer read, or that others can, after
/// its records were read by another host, also where it has several parts.
#[rstest]
#[case::one_record(1 << 20)]
#[case::several_records(1_024)]
fn the_customer_outlives_records_and_snapshots(#[case] record_bytes: usize) {
    let submission = submission("a");
    let records = submission.to_records(record_bytes, 1 << 20).expect("records");
    assert_eq!(records.len() > 1, record_bytes == 1_024);
    assert!(records.iter().all(|record| record.len() <= record_bytes));
    let table = apply(&records);
    assert_eq!(customer_of(&table), Some("a"));
    let copy = JobTable::from_snapshot(table.to_snapshot()).expect("a table");
    assert_eq!(copy, table);
    let parts: Vec<_> = records
        .into_iter()
        .filter_map(|record| match JobRecord::decode(record) {
            JobRecord::Part { data, .. } => Some(data),
            _ => None,
        })
        .collect();
    assert_eq!(Submission::from_parts(&parts).expect("a submission"), submission);
}

/// Guards against a customer's long name that makes a record larger than the store's
/// limit.
#[test]
fn a_long_name_leaves_records_within_their_limit() {
    let submission = submission(&"n".repeat(400));
    let records = submission.to_records(1_024, 1 << 20).expect("records");
    assert!(records.iter().all(|record| record.len() <= 1_024));
}

/// Guards against a takeover: a second submission under the same id doesn't change
/// whose job it is.
#[test]
fn a_job_stays_with_the_customer_that_submitted_it_first() {
    let mut records = submission("a").to_records(1 << 20, 1 << 20).expect("records");
    records.extend(submission("b").to_records(1 << 20, 1 << 20).expect("records"));
    assert_eq!(customer_of(&apply(&records)), Some("a"));
}

/// Guards against records of earlier releases, which have no customer, that can't be
/// read or count as some customer's.
#[test]
fn a_job_of_an_earlier_release_has_no_customer() {
    let old = OldSubmission { id: "j".to_owned(), items: vec![Item::default()] };
    let part = OldPart {
        job: "j".to_owned(),
        part: 0,
        part_count: 1,
        item_count: 1,
        data: old.encode_to_vec().into(),
        accepted_ms: 7,
    };
    let record = OldEnvelope { part: Some(part) }.encode_to_vec().into();
    assert_eq!(customer_of(&apply(&[record])), Some(""));
    let parts = [old.encode_to_vec().into()];
    assert_eq!(Submission::from_parts(&parts).expect("a submission").customer, "");
}

/// Guards against an earlier release that can't read the records of this one.
#[test]
fn an_earlier_release_skips_the_customer() {
    let records = submission("a").to_records(1 << 20, 1 << 20).expect("records");
    let part = OldEnvelope::decode(records[0].clone()).expect("a record").part.expect("a part");
    assert_eq!((part.job.as_str(), part.item_count, part.accepted_ms), ("j", 1, 7));
    let old = OldSubmission::decode(part.data).expect("a submission");
    assert_eq!((old.id.as_str(), old.items.len()), ("j", 1));
}
