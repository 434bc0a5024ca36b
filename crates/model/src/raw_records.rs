//! Reading of single records, which the administration API receives.

use crate::document::{DocumentReader, MappingReader};
use crate::findings::FindingList;
use crate::raw_fleet::{
    RawAccount, RawDepartment, RawDrain, RawPool, RawRoute, RawShift, RawUpstream,
};
use crate::raw_reader::{
    read_account, read_department, read_drain, read_pool, read_route, read_shift, read_upstream,
};

/// Implements `read` for each record type. The function reads a document that holds one record of the type.
macro_rules! impl_read {
    ($($record:ident: $read:ident,)*) => {$(
        impl $record {
            /// Reads a record from YAML or JSON. References to other records are not resolved.
            ///
            /// # Errors
            ///
            /// Returns all faults of the document with their source locations.
            pub fn read(file: &str, text: &str) -> Result<Self, FindingList> {
                read_record(file, text, $read)
            }
        }
    )*};
}

impl_read! {
    RawDepartment: read_department,
    RawAccount: read_account,
    RawPool: read_pool,
    RawUpstream: read_upstream,
    RawRoute: read_route,
    RawShift: read_shift,
    RawDrain: read_drain,
}

fn read_record<T>(
    file: &str,
    text: &str,
    read: impl Fn(&mut MappingReader<'_>) -> T,
) -> Result<T, FindingList> {
    let findings = FindingList::new(file);
    let document = DocumentReader::new(text, &findings);
    let mut root = document.root();
    let record = read(&mut root);
    root.finish();
    if findings.is_empty() {
        Ok(record)
    } else {
        Err(findings.clone())
    }
}
