use std::{
    collections::HashMap,
    sync::{Mutex, OnceLock},
};
pub fn knob(name: &'static str, default: f64) -> f64 {
    static K: OnceLock<Mutex<HashMap<&'static str, f64>>> = OnceLock::new();
    *K.get_or_init(Default::default)
        .lock()
        .unwrap()
        .entry(name)
        .or_insert_with(|| std::env::var(name).map_or(default, |v| v.parse().unwrap()))
}
