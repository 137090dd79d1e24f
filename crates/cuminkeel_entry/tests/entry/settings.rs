//! Settings: the examples load, and every mistake is named with its place.

use cuminkeel_entry::settings as entry_settings;
use proptest::{
    prelude::{ProptestConfig, any, proptest},
    test_runner,
};

const ANADOLU: &str = include_str!("../../../../examples/settings/anadolu.yaml");
const PEREKAT: &str = include_str!("../../../../examples/settings/perekat.yaml");

#[test]
fn the_examples_are_valid() {
    let anadolu = entry_settings::parse(ANADOLU).expect("the example is valid");
    assert_eq!(anadolu.vm.as_str(), "gebze-entry-1");
    assert!(anadolu.dispatch.response_weight > anadolu.dispatch.message_weight);
    let perekat = entry_settings::parse(PEREKAT).expect("the example is valid");
    assert_eq!(perekat.failure_domain.as_str(), "penang");
    assert!(perekat.dispatch.message_weight > perekat.dispatch.response_weight);
}

#[test]
fn secrets_are_not_shown() {
    let settings = entry_settings::parse(ANADOLU).expect("the example is valid");
    assert!(!format!("{settings:?}").contains("replace-this-secret"));
}

fn errors_of(text: &str) -> Vec<String> {
    let error = entry_settings::parse(text).expect_err("the text has mistakes");
    error.issues.iter().map(ToString::to_string).collect()
}

#[test]
fn each_mistake_is_named_with_its_place() {
    let cases = [
        (
            "vm: gebze-entry-1",
            "vm: ''",
            "line 2, column 5: `vm` must be text that is not empty",
        ),
        (
            "rack: gebze-rack-1",
            "rak: gebze-rack-1",
            "line 4, column 1: unknown setting `rak`",
        ),
        ("rack: gebze-rack-1", "", "missing setting `rack`"),
        (
            "address: 0.0.0.0:8080",
            "address: here",
            "line 7, column 12: `address` must be an IP address with a port",
        ),
        (
            "max_body_bytes: 4194304",
            "max_body_bytes: 5",
            "line 8, column 19: `max_body_bytes` must be from 1024 to 67108864, not 5",
        ),
        (
            "max_body_bytes: 4194304",
            "max_body_bytes: -5",
            "must be from 1024 to 67108864, not -5",
        ),
        (
            "max_body_bytes: 4194304",
            "max_body_bytes: lots",
            "`max_body_bytes` must be a whole number",
        ),
        (
            "format: json",
            "format: xml",
            "`format` must be one of terminal, json",
        ),
        ("    - replace-this-secret", "", "missing setting `secrets`"),
    ];
    for (right, wrong, wanted) in cases {
        let text = ANADOLU.replacen(right, wrong, 1);
        assert_ne!(text, ANADOLU, "the example holds {right}");
        let errors = errors_of(&text);
        assert!(
            errors.iter().any(|error| error.contains(wanted)),
            "{wrong}: {errors:?}"
        );
    }
}

#[test]
fn all_mistakes_are_reported_at_once_in_the_order_of_lines() {
    let text = ANADOLU
        .replacen("vm: gebze-entry-1", "vm: 7", 1)
        .replacen("max_body_bytes: 4194304", "max_body_bytes: 0", 1)
        .replacen("level: info", "level: loud\n  colour: red", 1);
    let errors = errors_of(&text);
    assert_eq!(errors.len(), 4, "{errors:?}");
    let named = ["`vm`", "`max_body_bytes`", "`level`", "`colour`"];
    for (error, name) in errors.iter().zip(named) {
        assert!(error.contains(name), "{error} names {name}");
    }
}

#[test]
fn text_that_is_not_yaml_is_one_error_with_a_place() {
    let errors = errors_of("vm: [unclosed");
    assert_eq!(errors.len(), 1);
    assert!(errors[0].contains("not valid YAML"), "{errors:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_gives_settings_or_errors(text in any::<String>()) {
        if let Err(error) = entry_settings::parse(&text) {
            assert!(!error.issues.is_empty());
        }
    }

    #[test]
    fn a_damaged_example_gives_settings_or_errors(
        position in 0..ANADOLU.chars().count(),
        inserted in any::<char>(),
    ) {
        let mut text: Vec<char> = ANADOLU.chars().collect();
        text[position] = inserted;
        let text: String = text.into_iter().collect();
        if let Err(error) = entry_settings::parse(&text) {
            assert!(!error.issues.is_empty());
        }
    }
}
