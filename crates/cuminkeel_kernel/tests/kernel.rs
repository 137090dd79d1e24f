//! Order of starting and stopping, look-up by name, and failures.

use std::{sync, time};

use cuminkeel_kernel::{error, registry, runner, service};

#[derive(Debug)]
struct FakeService {
    name: &'static str,
    fails: bool,
    calls: sync::Arc<sync::Mutex<Vec<String>>>,
}

#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("fake failure")]
struct FakeFailure;

impl FakeService {
    fn note(&self, what: &str) {
        self.calls
            .lock()
            .expect("no test panics while it holds the lock")
            .push(format!("{what} {}", self.name));
    }
}

#[async_trait::async_trait]
impl service::KernelService for FakeService {
    fn name(&self) -> service::ServiceName {
        self.name.into()
    }

    async fn start(&self, registry: &registry::ServiceRegistry) -> Result<(), error::ServiceError> {
        self.note("start");
        if self.fails {
            return Err(error::ServiceError::new(FakeFailure));
        }
        let greeting: sync::Arc<str> = self.name.into();
        registry
            .publish(self.name, greeting)
            .map_err(error::ServiceError::new)
    }

    async fn drain(&self, _limit: time::Duration) -> service::DrainReport {
        self.note("drain");
        service::DrainReport { unfinished: 1 }
    }

    async fn stop(&self) {
        self.note("stop");
    }
}

type CallLog = sync::Arc<sync::Mutex<Vec<String>>>;

fn kernel_with(names: &[(&'static str, bool)]) -> (runner::ServiceKernel, CallLog) {
    let calls = CallLog::default();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let mut kernel = runner::ServiceKernel::new(log);
    for &(name, fails) in names {
        let service = FakeService {
            name,
            fails,
            calls: sync::Arc::clone(&calls),
        };
        kernel
            .add(sync::Arc::new(service))
            .expect("names are distinct");
    }
    (kernel, calls)
}

fn taken(calls: &CallLog) -> Vec<String> {
    calls
        .lock()
        .expect("no test panics while it holds the lock")
        .clone()
}

#[tokio::test]
async fn services_start_in_order_and_stop_in_reverse() {
    let (kernel, calls) = kernel_with(&[("a", false), ("b", false)]);
    kernel.start().await.expect("both start");
    let reports = kernel.drain(time::Duration::from_secs(1)).await;
    kernel.stop().await;
    assert_eq!(
        taken(&calls),
        [
            "start a", "start b", "drain b", "drain a", "stop b", "stop a"
        ]
    );
    assert_eq!(reports.len(), 2);
    assert_eq!(reports[0].report.unfinished, 1);
}

#[tokio::test]
async fn a_failed_start_stops_the_services_before_it() {
    let (kernel, calls) = kernel_with(&[("a", false), ("b", true), ("c", false)]);
    let failure = kernel.start().await.expect_err("b fails");
    assert_eq!(failure.to_string(), "service b did not start: fake failure");
    assert_eq!(taken(&calls), ["start a", "start b", "stop a"]);
}

#[tokio::test]
async fn parts_are_found_by_name_and_type() {
    let (kernel, _calls) = kernel_with(&[("a", false)]);
    kernel.start().await.expect("a starts");
    let registry = kernel.registry();
    assert_eq!(&*registry.find::<str>("a").expect("published"), "a");
    assert!(matches!(
        registry.find::<str>("b"),
        Err(error::KernelError::NotFound { .. })
    ));
    assert!(matches!(
        registry.find::<u32>("a"),
        Err(error::KernelError::WrongType { .. })
    ));
    assert!(matches!(
        registry.publish("a", sync::Arc::new(1_u32)),
        Err(error::KernelError::NameTaken { .. })
    ));
}
