//! Listeners of a node, each a task of the kernel.

use std::time;

use error_stack::Report;
use tonic::service::Routes;

use super::{Builder, Error, Link, names};
use crate::admin::Admin;
use crate::call::{Ingress, Owner};
use crate::metrics::Exporter;
use crate::{announce, operator};

/// Time for which connections that still come after the request to stop are answered.
const LINGER: time::Duration = time::Duration::from_millis(500);

/// Binds and starts all listeners; those that serve requests stop first.
pub(super) async fn start(builder: &mut Builder) -> Result<(), Report<Error>> {
    let settings = builder.settings.clone();
    let limits = web::Limits::default();
    let admin: Admin = builder.find(names::ADMIN)?;
    builder
        .frame
        .listen("admin", settings.admin, limits, admin)
        .await?;
    let operator = operator_api(builder)?;
    builder
        .frame
        .listen("operator", settings.operator, limits, operator)
        .await?;
    let announce = announce_api(builder)?;
    builder
        .frame
        .listen("announce", settings.announce, limits, announce)
        .await?;
    let limits = web::Limits::for_requests(settings.connections, LINGER);
    let owner: Owner<Link> = builder.find(names::OWNER)?;
    builder
        .frame
        .listen("mesh", settings.mesh, limits, owner)
        .await?;
    let ingress: Ingress<Link, moves::Recorder> = builder.find(names::INGRESS)?;
    let exporter: Exporter = builder.find(names::EXPORTER)?;
    let limits = web::Limits {
        clients: settings.clients.limits(),
        ..limits
    };
    let clients = builder
        .frame
        .listen("callers", settings.callers, limits, ingress)
        .await?;
    exporter.add_counts("clients", move || clients.counts());
    Ok(())
}

fn operator_api(builder: &Builder) -> Result<web::Grpc, Report<Error>> {
    let distribution = builder.find(names::DISTRIBUTION)?;
    let desk = builder.find(names::DESK)?;
    let api = operator::Api::new(distribution, desk, builder.find(names::MOVES)?);
    let access = operator::Access::new(&builder.settings.token());
    let service = schema::operator::operator_server::OperatorServer::with_interceptor(api, access);
    Ok(web::Grpc::new(Routes::new(service)))
}

fn announce_api(builder: &Builder) -> Result<web::Grpc, Report<Error>> {
    let api = announce::Api::new(builder.find(names::ANNOUNCEMENTS)?);
    let service = schema::announce::announce_server::AnnounceServer::new(api);
    Ok(web::Grpc::new(Routes::new(service)))
}
