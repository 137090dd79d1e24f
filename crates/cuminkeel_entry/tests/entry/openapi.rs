//! The committed OpenAPI document is that of the code.

use cuminkeel_entry::api;

const COMMITTED: &str = include_str!("../../../../docs/api/openapi.json");

#[test]
fn the_committed_document_is_current() {
    let document = api::openapi_document().expect("the description is sound");
    assert!(
        document == COMMITTED,
        "docs/api/openapi.json is out of date; write it with \
         `cargo run -- openapi > docs/api/openapi.json`"
    );
}
