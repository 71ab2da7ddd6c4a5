//! Start of the services that the daemon consists of.

use super::StartError;
use crate::backends::Backends;
use crate::duties::admission::AdmissionService;
use crate::duties::block_export::{BlockExportDependencies, BlockExportService};
use crate::duties::claims::ClaimsService;
use crate::duties::control::{ControlDependencies, ControlService, SharedBudgets};
use crate::duties::quarantine::QuarantineService;
use crate::duties::routing::RoutingService;
use crate::peer::PeerClient;
use crate::setup::{admission_settings, claims_setup, control_setup, routing_setup};
use anvilgw_config::Settings;
use anvilgw_core::{Clock, DaemonId, LogService};
use anvilgw_kernel::{Journal, Registry, RegistryError, StopSignal, WorkerThread};
use std::net::UdpSocket;
use std::sync::Arc;
use tokio::runtime::Handle;

/// Handles of the running services.
pub(super) struct Services {
    pub(super) backends: Arc<Backends>,
    pub(super) admission: Arc<AdmissionService>,
    pub(super) routing: Arc<RoutingService>,
    pub(super) block_export: Arc<BlockExportService>,
    pub(super) claims: Arc<ClaimsService>,
    pub(super) quarantine: Arc<QuarantineService>,
    pub(super) control: Arc<ControlService>,
    pub(super) budgets: Arc<SharedBudgets>,
    pub(super) peers: Arc<PeerClient>,
}

/// Dependencies that the services of a daemon share.
pub(crate) struct ServiceDependencies {
    pub(crate) settings: Arc<Settings>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) journal: Arc<Journal>,
    pub(super) log: Arc<dyn LogService>,
    pub(crate) daemon: DaemonId,
    pub(super) stop_workers: StopSignal,
}

/// Starts the services and adds their worker threads to `worker_threads`.
pub(super) fn start_services(
    dependencies: &ServiceDependencies,
    datagrams: UdpSocket,
    worker_threads: &mut Vec<WorkerThread>,
) -> Result<Services, StartError> {
    let peers = Arc::new(PeerClient::default());
    let backends = Arc::new(Backends::new(&dependencies.settings));
    let control_dependencies = ControlDependencies {
        log: Arc::clone(&dependencies.log),
        socket: datagrams,
        peers: Arc::clone(&peers),
        runtime: Handle::current(),
        clock: Arc::clone(&dependencies.clock),
        journal: Arc::clone(&dependencies.journal),
    };
    let control = ControlService::start(
        control_setup(dependencies),
        control_dependencies,
        &dependencies.stop_workers,
    )?;
    worker_threads.extend(control.worker_threads);
    let (admission, worker_thread) = AdmissionService::start(
        admission_settings(&dependencies.settings),
        Arc::clone(&dependencies.clock),
        dependencies.stop_workers.clone(),
    )?;
    worker_threads.push(worker_thread);
    let (routing, worker_thread) = RoutingService::start(
        routing_setup(dependencies),
        Arc::clone(&control.budgets),
        Arc::clone(&dependencies.clock),
        Arc::clone(&dependencies.journal),
        dependencies.stop_workers.clone(),
    )?;
    worker_threads.push(worker_thread);
    let routing = Arc::new(routing);
    let export_dependencies = BlockExportDependencies {
        settings: Arc::clone(&dependencies.settings),
        backends: Arc::clone(&backends),
        routing: Arc::clone(&routing),
        runtime: Handle::current(),
    };
    let (block_export, worker_thread) =
        BlockExportService::start(export_dependencies, dependencies.stop_workers.clone())?;
    worker_threads.push(worker_thread);
    let (claims, worker_thread) = ClaimsService::start(
        claims_setup(dependencies),
        Arc::clone(&dependencies.log),
        Arc::clone(&dependencies.clock),
        Arc::clone(&dependencies.journal),
        &dependencies.stop_workers,
    )?;
    worker_threads.push(worker_thread);
    Ok(Services {
        backends,
        admission: Arc::new(admission),
        routing,
        block_export: Arc::new(block_export),
        claims: Arc::new(claims),
        quarantine: start_quarantine(dependencies, worker_threads)?,
        control: Arc::new(control.service),
        budgets: control.budgets,
        peers,
    })
}

fn start_quarantine(
    dependencies: &ServiceDependencies,
    worker_threads: &mut Vec<WorkerThread>,
) -> Result<Arc<QuarantineService>, StartError> {
    let (quarantine, worker_thread) = QuarantineService::start(
        dependencies.settings.log.stream_name("quarantine"),
        Arc::clone(&dependencies.log),
        Arc::clone(&dependencies.clock),
        Arc::clone(&dependencies.journal),
        dependencies.stop_workers.clone(),
    )?;
    worker_threads.push(worker_thread);
    Ok(quarantine)
}

/// Registers the services under their names.
pub(super) fn register(
    registry: &Registry,
    services: &Services,
    journal: &Arc<Journal>,
) -> Result<(), RegistryError> {
    registry.register("control", Arc::clone(&services.control))?;
    registry.register("budgets", Arc::clone(&services.budgets))?;
    registry.register("admission", Arc::clone(&services.admission))?;
    registry.register("routing", Arc::clone(&services.routing))?;
    registry.register("keeping", Arc::clone(&services.block_export))?;
    registry.register("claims", Arc::clone(&services.claims))?;
    registry.register("quarantine", Arc::clone(&services.quarantine))?;
    registry.register("peers", Arc::clone(&services.peers))?;
    registry.register("journal", Arc::clone(journal))
}
