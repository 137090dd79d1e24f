//! Carries out the actions of a scenario at their times.

use std::sync;

use cuminkeel_platform::border;
use cuminkeel_types::names;

use crate::{platform::gate, sync_lock};

use super::{plan, site};

/// Carries out all steps and returns after the last.
pub(super) async fn play(
    site: sync::Arc<site::LoadSite>,
    steps: Vec<plan::ScriptStep>,
    start: tokio::time::Instant,
) {
    let mut drains = tokio::task::JoinSet::new();
    for step in steps {
        tokio::time::sleep_until(start + site.options.span.mul_f64(step.at)).await;
        match step.action {
            plan::SiteAction::DrainEntry(position) => {
                let vm = end_entry(&site, position);
                drains.spawn(drain_entry(site.clone(), vm));
            }
            action => apply(&site, action).await,
        }
    }
    while drains.join_next().await.is_some() {}
}

async fn apply(site: &site::LoadSite, action: plan::SiteAction) {
    match action {
        plan::SiteAction::ServerFault(position, fault) => {
            site.servers[position].set_fault(fault, 1);
        }
        plan::SiteAction::PartnerLeaves(partner) => partner_leaves(site, partner),
        plan::SiteAction::DrainEntry(_) => {}
        plan::SiteAction::KillEntry(position) => kill_entry(site, position).await,
        plan::SiteAction::PauseEntry(position, span) => {
            let vm = sync_lock::lock(&site.entries)[position].vm.clone();
            let paused = site.fleet.pause(&vm, span).await;
            note_error(site, paused);
        }
        plan::SiteAction::ReplaceEntry(position) => {
            let replaced = site.replace_entry(position).await;
            note_error(site, replaced);
        }
        plan::SiteAction::CutDomain(position, cut) => cut_domain(site, position, cut).await,
        plan::SiteAction::PlatformFaults(faults) => site.platform.set_faults(faults),
    }
}

fn note_error<Failure: std::fmt::Display>(site: &site::LoadSite, result: Result<(), Failure>) {
    if let Err(failure) = result {
        site.note(failure);
    }
}

fn partner_leaves(site: &site::LoadSite, partner: &'static str) {
    let listed = site.ledger.elapsed() + site.plan.list_lag;
    let mut leaving = sync_lock::lock(&site.leaving);
    for (server, plan) in site.servers.iter().zip(&site.plan.servers) {
        if plan.partner == partner {
            leaving.insert(server.settings().name.clone(), listed);
        }
    }
    drop(leaving);
    site.platform.edit_vms(|vms| {
        for vm in vms.iter_mut().filter(|vm| vm.partner.as_str() == partner) {
            vm.state = border::VmState::Leaving;
        }
    });
}

async fn drain_entry(site: sync::Arc<site::LoadSite>, vm: names::VmName) {
    site.platform.edit_vms(|vms| {
        for row in vms.iter_mut().filter(|row| *row.name == *vm.as_str()) {
            row.state = border::VmState::Leaving;
        }
    });
    let drained = site.fleet.drain(&vm).await;
    note_error(&site, drained);
    unlist(&site, &vm);
}

async fn kill_entry(site: &site::LoadSite, position: usize) {
    let vm = end_entry(site, position);
    let killed = site.fleet.kill(&vm).await;
    note_error(site, killed);
    unlist(site, &vm);
}

fn end_entry(site: &site::LoadSite, position: usize) -> names::VmName {
    let mut entries = sync_lock::lock(&site.entries);
    entries[position].running = false;
    entries[position].vm.clone()
}

/// Takes a VM off the list, which shows it for the lag.
fn unlist(site: &site::LoadSite, vm: &names::VmName) {
    site.platform
        .edit_vms(|vms| vms.retain(|row| *row.name != *vm.as_str()));
}

async fn cut_domain(site: &site::LoadSite, position: usize, cut: bool) {
    let domain = names::FailureDomain::from(site.options.deployment.domains()[position]);
    let state = if cut {
        gate::GateState::Cut
    } else {
        gate::GateState::Open
    };
    site.gates[position].set(state);
    let isolated = site.fleet.isolate(&domain, cut).await;
    note_error(site, isolated);
}
