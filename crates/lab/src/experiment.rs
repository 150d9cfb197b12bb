//! x
use crate::report::Table;
pub(crate) fn run(_: u64, _: u64) -> Table { Table::new(&[]) }
