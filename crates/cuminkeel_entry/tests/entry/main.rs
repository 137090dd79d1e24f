//! Tests of the entry through real sockets on loopback.

mod api_errors;
mod drain;
mod openapi;
mod settings;
mod support;
mod traces;
