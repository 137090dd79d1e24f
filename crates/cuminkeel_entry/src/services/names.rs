//! Names under which the services publish their parts.

/// `dyn MeshPort`: members, and messages to them.
pub const MESH: &str = "mesh";
/// `dyn ConfigSource`: the lists in force.
pub const CONFIG: &str = "config";
/// `CoreHandle`: the decision loop.
pub const CORE: &str = "core";
/// `BackendClient`: calls to backend servers.
pub const BACKEND: &str = "backend";
/// `dyn VmDirectory`: the platform's VM list.
pub const DIRECTORY: &str = "directory";
/// `dyn LogStore`: the platform's log.
pub const LOG_STORE: &str = "log_store";
/// `BoundAddress`: where callers are served.
pub const API: &str = "api";
/// `dyn SeedSink`: takes addresses of other entries.
pub const SEEDS: &str = "seeds";
/// `dyn MeshProbe`: counts of the mesh's traffic, and fault drills.
pub const MESH_PROBE: &str = "mesh_probe";
/// `AllowanceDesk`: this entry's shares of the allowances.
pub const ALLOWANCE: &str = "allowance";
/// `watch::Receiver<bool>`: whether the other entries have declared this process gone.
pub const REJECTION: &str = "rejection";
