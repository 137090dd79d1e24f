//! The settings of an entry and their ranges.

use std::{net, sync, time};

use cuminkeel_types::names;

use super::{node, reader};

/// All settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Name of the VM.
    pub vm: names::VmName,
    /// Failure domain that the VM stands in.
    pub failure_domain: names::FailureDomain,
    /// Rack that the VM stands in.
    pub rack: names::RackName,
    /// The callers' interface.
    pub api: ApiSettings,
    /// Messages between entries.
    pub mesh: MeshSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Placement and limits.
    pub dispatch: DispatchSettings,
    /// Calls to backend servers.
    pub backend: BackendSettings,
    /// Longest time that a planned stop waits for accepted work.
    pub drain_limit: time::Duration,
    /// Logs.
    pub log: LogSettings,
    /// Metrics and traces; none if they are off.
    pub telemetry: Option<TelemetrySettings>,
}

/// The callers' interface.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiSettings {
    /// Address to listen on.
    pub address: net::SocketAddr,
    /// Certificate; plain HTTP if none.
    pub tls: Option<TlsSettings>,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Most requests at once; more are refused as `busy`.
    pub max_concurrent_requests: usize,
    /// Longest time for a request's body to arrive.
    pub body_timeout: time::Duration,
    /// Longest deadline that a job may ask for.
    pub max_deadline: time::Duration,
    /// Most submission keys in one batch.
    pub max_keys_per_batch: u32,
}

/// Files of a certificate, PEM.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsSettings {
    /// Certificate chain.
    pub certificate_file: sync::Arc<str>,
    /// Private key, PKCS #8.
    pub key_file: sync::Arc<str>,
}

/// Messages between entries.
#[derive(Clone, derive_more::Debug, PartialEq)]
pub struct MeshSettings {
    /// Address for UDP and TCP.
    pub address: net::SocketAddr,
    /// Secrets that authenticate messages. The first signs; all are accepted,
    /// so that a secret can be replaced without a stop.
    #[debug("{} secrets", secrets.len())]
    pub secrets: Vec<sync::Arc<str>>,
}

/// The platform's services.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Address of the platform's HTTP interface.
    pub address: net::SocketAddr,
    /// Longest time for one call.
    pub timeout: time::Duration,
    /// Time between readings of the VM list.
    pub vm_list_interval: time::Duration,
    /// Time for which the log keeps records; none if it keeps them for ever.
    pub log_retention: Option<time::Duration>,
}

/// Placement and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Name of the policy.
    pub policy: sync::Arc<str>,
    /// What response time is worth, relative to `message_weight`.
    pub response_weight: u32,
    /// What a saved message is worth, relative to `response_weight`.
    pub message_weight: u32,
    /// Entry VMs that each failure domain may have; allowances are split over them.
    pub seats_per_domain: u32,
    /// Failure domains of the deployment, each with entries of its own.
    pub failure_domains: Vec<names::FailureDomain>,
}

/// Calls to backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSettings {
    /// Longest time to make a connection.
    pub connect_timeout: time::Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: time::Duration,
    /// Longest time for one task. A dead entry's share of an allowance comes back
    /// only when none of its tasks can run any more, so long tasks delay it.
    pub max_task_time: time::Duration,
    /// Longest time past a job's deadline to wait for a started task's answer.
    pub answer_grace: time::Duration,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// For people.
    Terminal,
    /// One JSON object a line.
    Json,
}

/// Least severity that is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// What an operator may want to know.
    Info,
    /// What may need an operator.
    Warning,
    /// What does need an operator.
    Error,
}

/// Logs.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Form.
    pub format: LogFormat,
    /// Least severity.
    pub level: LogLevel,
}

/// Metrics and traces.
#[derive(Clone, Debug, PartialEq)]
pub struct TelemetrySettings {
    /// Base URL of an OTLP collector over HTTP.
    pub otlp_endpoint: sync::Arc<str>,
    /// Traces kept of each thousand jobs.
    pub traces_per_thousand: u32,
    /// Time between exports of metrics.
    pub metrics_interval: time::Duration,
}

const KIB: u64 = 1_024;
const MIB: u64 = 1_024 * KIB;
const MINUTE_MILLIS: u64 = 60_000;

/// Reads all settings; none if any is missing or wrong.
pub(super) fn read(
    reader: &mut reader::SettingsReader,
    root: &node::PlacedNode,
) -> Option<EntrySettings> {
    let mut top = reader.open("settings", root)?;
    let vm = reader.text(&mut top, "vm");
    let failure_domain = reader.text(&mut top, "failure_domain");
    let rack = reader.text(&mut top, "rack");
    let api = read_api(reader, &mut top);
    let mesh = read_mesh(reader, &mut top);
    let platform = read_platform(reader, &mut top);
    let dispatch = read_dispatch(reader, &mut top);
    let backend = read_backend(reader, &mut top);
    let drain_limit = reader.millis(&mut top, "drain_limit_ms", 0..=10 * MINUTE_MILLIS, 30_000);
    let log = read_log(reader, &mut top);
    let telemetry = read_telemetry(reader, &mut top);
    reader.close(top);
    Some(EntrySettings {
        vm: names::VmName::new(vm?),
        failure_domain: names::FailureDomain::new(failure_domain?),
        rack: names::RackName::new(rack?),
        api: api?,
        mesh: mesh?,
        platform: platform?,
        dispatch: dispatch?,
        backend: backend?,
        drain_limit: drain_limit?,
        log: log?,
        telemetry,
    })
}

fn section_or_defaults<'a>(
    reader: &mut reader::SettingsReader,
    top: &mut reader::SectionReader<'a>,
    name: &'static str,
) -> reader::SectionReader<'a> {
    reader
        .optional_section(top, name)
        .unwrap_or_else(|| reader::SectionReader::empty_at(top))
}

fn read_api(
    reader: &mut reader::SettingsReader,
    top: &mut reader::SectionReader<'_>,
) -> Option<ApiSettings> {
    let mut section = reader.section(top, "api")?;
    let address = reader.address(&mut section, "address");
    let tls = read_tls(reader, &mut section);
    let max_body_bytes = reader.count(&mut section, "max_body_bytes", KIB..=64 * MIB, 4 * MIB);
    let max_concurrent_requests =
        reader.count(&mut section, "max_concurrent_requests", 1..=100_000, 4_096);
    let body_timeout = reader.millis(&mut section, "body_timeout_ms", 10..=MINUTE_MILLIS, 5_000);
    let max_deadline = reader.millis(
        &mut section,
        "max_deadline_ms",
        100..=60 * MINUTE_MILLIS,
        2 * MINUTE_MILLIS,
    );
    let max_keys = reader.number(&mut section, "max_keys_per_batch", 1..=1_000, 100);
    reader.close(section);
    Some(ApiSettings {
        address: address?,
        tls,
        max_body_bytes: max_body_bytes?,
        max_concurrent_requests: max_concurrent_requests?,
        body_timeout: body_timeout?,
        max_deadline: max_deadline?,
        max_keys_per_batch: u32::try_from(max_keys?).ok()?,
    })
}

fn read_tls(
    reader: &mut reader::SettingsReader,
    api: &mut reader::SectionReader<'_>,
) -> Option<TlsSettings> {
    let mut section = reader.optional_section(api, "tls")?;
    let certificate_file = reader.text(&mut section, "certificate_file");
    let key_file = reader.text(&mut section, "key_file");
    reader.close(section);
    Some(TlsSettings {
        certificate_file: certificate_file?,
        key_file: key_file?,
    })
}

fn read_mesh(
    reader: &mut reader::SettingsReader,
    top: &mut reader::SectionReader<'_>,
) -> Option<MeshSettings> {
    let mut section = reader.section(top, "mesh")?;
    let address = reader.address(&mut section, "address");
    let secrets = reader.texts(&mut section, "secrets");
    reader.close(section);
    Some(MeshSettings {
        address: address?,
        secrets: secrets?,
    })
}

fn read_platform(
    reader: &mut reader::SettingsReader,
    top: &mut reader::SectionReader<'_>,
) -> Option<PlatformSettings> {
    let mut section = reader.section(top, "platform")?;
    let address = reader.address(&mut section, "address");
    let timeout = reader.millis(&mut section, "timeout_ms", 10..=MINUTE_MILLIS, 2_000);
    let vm_list_interval =
        reader.millis(&mut section, "vm_list_interval_ms", 50..=MINUTE_MILLIS, 500);
    let retention = reader.number(&mut section, "log_retention_minutes", 0..=527_040, 1_440);
    reader.close(section);
    Some(PlatformSettings {
        address: address?,
        timeout: timeout?,
        vm_list_interval: vm_list_interval?,
        log_retention: Some(retention?)
            .filter(|minutes| *minutes > 0)
            .map(time::Duration::from_mins),
    })
}

fn read_dispatch(
    reader: &mut reader::SettingsReader,
    top: &mut reader::SectionReader<'_>,
) -> Option<DispatchSettings> {
    let mut section = reader.section(top, "dispatch")?;
    let policy = reader
        .optional_text(&mut section, "policy")
        .unwrap_or_else(|| "cuminkeel".into());
    let response_weight = reader.number(&mut section, "response_weight", 0..=100, 1);
    let message_weight = reader.number(&mut section, "message_weight", 0..=100, 1);
    let seats_per_domain = reader.number(&mut section, "seats_per_domain", 1..=100, 3);
    let failure_domains = reader.texts(&mut section, "failure_domains");
    reader.close(section);
    Some(DispatchSettings {
        policy,
        response_weight: u32::try_from(response_weight?).ok()?,
        message_weight: u32::try_from(message_weight?).ok()?,
        seats_per_domain: u32::try_from(seats_per_domain?).ok()?,
        failure_domains: failure_domains?
            .into_iter()
            .map(names::FailureDomain::new)
            .collect(),
    })
}

fn read_backend(
    reader: &mut reader::SettingsReader,
    top: &mut reader::SectionReader<'_>,
) -> Option<BackendSettings> {
    let mut section = section_or_defaults(reader, top, "backend");
    let connect_timeout = reader.millis(&mut section, "connect_timeout_ms", 10..=10_000, 500);
    let idle_timeout = reader.millis(
        &mut section,
        "idle_timeout_ms",
        100..=10 * MINUTE_MILLIS,
        30_000,
    );
    let max_task_time = reader.millis(
        &mut section,
        "max_task_time_ms",
        100..=10 * MINUTE_MILLIS,
        10_000,
    );
    let answer_grace = reader.millis(&mut section, "answer_grace_ms", 0..=MINUTE_MILLIS, 1_000);
    reader.close(section);
    Some(BackendSettings {
        connect_timeout: connect_timeout?,
        idle_timeout: idle_timeout?,
        max_task_time: max_task_time?,
        answer_grace: answer_grace?,
    })
}

fn read_log(
    reader: &mut reader::SettingsReader,
    top: &mut reader::SectionReader<'_>,
) -> Option<LogSettings> {
    let mut section = section_or_defaults(reader, top, "log");
    let formats = [("terminal", LogFormat::Terminal), ("json", LogFormat::Json)];
    let format = reader.word(&mut section, "format", &formats, LogFormat::Terminal);
    let levels = [
        ("debug", LogLevel::Debug),
        ("info", LogLevel::Info),
        ("warning", LogLevel::Warning),
        ("error", LogLevel::Error),
    ];
    let level = reader.word(&mut section, "level", &levels, LogLevel::Info);
    reader.close(section);
    Some(LogSettings {
        format: format?,
        level: level?,
    })
}

fn read_telemetry(
    reader: &mut reader::SettingsReader,
    top: &mut reader::SectionReader<'_>,
) -> Option<TelemetrySettings> {
    let mut section = reader.optional_section(top, "telemetry")?;
    let enabled = reader.flag(&mut section, "enabled", true);
    let otlp_endpoint = reader.text(&mut section, "otlp_endpoint");
    let traces = reader.number(&mut section, "traces_per_thousand", 0..=1_000, 10);
    let metrics_interval = reader.millis(
        &mut section,
        "metrics_interval_ms",
        1_000..=10 * MINUTE_MILLIS,
        30_000,
    );
    reader.close(section);
    let settings = TelemetrySettings {
        otlp_endpoint: otlp_endpoint?,
        traces_per_thousand: u32::try_from(traces?).ok()?,
        metrics_interval: metrics_interval?,
    };
    enabled?.then_some(settings)
}
