//! Routes of the administration API. Each call is authenticated before its handler runs.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use coltsfootkeel_model::ShiftState;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::extract::Query;
use volo_http::server::param::PathParamsMap;
use volo_http::server::route::{delete, get, post};

use crate::admin_api::AdminApi;
use crate::admin_call::{AdminCall, CallQuery};
use crate::admin_collections::COLLECTIONS;
use crate::admin_error::AdminError;
use crate::admin_reads::{
    AdminResult, get_config, get_dump, get_generation, get_record, get_status, list_generations,
    list_records,
};
use crate::admin_writes::{
    delete_record, grant_key, put_config, put_record, set_shift, withdraw_key,
};
use crate::shared_state::SharedState;
use coltsfootkeel_transport::RouterService;

type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// Creates the service of the administration listener.
#[must_use]
pub fn admin_service(shared: Arc<SharedState>) -> RouterService {
    let api = Arc::new(AdminApi::new(shared));
    let router = collection_routes(&api, action_routes(&api, read_routes(&api)));
    RouterService::new(router.fallback(authenticated(&api, path_not_found)))
}

fn read_routes(api: &Arc<AdminApi>) -> Router {
    Router::new()
        .route("/v1/status", get(authenticated(api, get_status)))
        .route("/v1/dump", get(authenticated(api, get_dump)))
        .route("/v1/generations", get(authenticated(api, list_generations)))
        .route(
            "/v1/generations/{generation}",
            get(authenticated(api, get_generation)),
        )
        .route(
            "/v1/config",
            get(authenticated(api, get_config)).put(authenticated(api, put_config)),
        )
}

fn action_routes(api: &Arc<AdminApi>, router: Router) -> Router {
    let start = |api, call| set_shift(api, call, ShiftState::Active);
    let pause = |api, call| set_shift(api, call, ShiftState::Paused);
    router
        .route("/v1/shifts/{name}/start", post(authenticated(api, start)))
        .route("/v1/shifts/{name}/pause", post(authenticated(api, pause)))
        .route(
            "/v1/client-accounts/{name}/access-keys",
            post(authenticated(api, grant_key)),
        )
        .route(
            "/v1/client-accounts/{name}/access-keys/{label}",
            delete(authenticated(api, withdraw_key)),
        )
}

fn collection_routes(api: &Arc<AdminApi>, mut router: Router) -> Router {
    for collection in &COLLECTIONS {
        let list = move |api, call| list_records(api, call, collection);
        let read = move |api, call| get_record(api, call, collection);
        let put = move |api, call| put_record(api, call, collection);
        let remove = move |api, call| delete_record(api, call, collection);
        let item = get(authenticated(api, read))
            .put(authenticated(api, put))
            .delete(authenticated(api, remove));
        router = router
            .route(collection.list_path, get(authenticated(api, list)))
            .route(collection.item_path, item);
    }
    router
}

async fn path_not_found(_api: Arc<AdminApi>, call: AdminCall) -> AdminResult {
    Err(AdminError::NotFound(call.path().to_string()))
}

/// Wraps `handler` for the router: the operator's token is checked first, and errors are returned as JSON.
fn authenticated<F, Fut>(
    api: &Arc<AdminApi>,
    handler: F,
) -> impl Fn(PathParamsMap, Option<Query<CallQuery>>, Request) -> ResponseFuture
+ Clone
+ Send
+ Sync
+ 'static
where
    F: Fn(Arc<AdminApi>, AdminCall) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = AdminResult> + Send + 'static,
{
    let api = Arc::clone(api);
    move |params, query, request| {
        let api = Arc::clone(&api);
        let handler = handler.clone();
        Box::pin(async move {
            let operators = &api.shared.settings.admin.operators;
            let query = query.map(|Query(query)| query);
            let result = match AdminCall::read(operators, params, query, request).await {
                Ok(call) => handler(Arc::clone(&api), call).await,
                Err(error) => Err(error),
            };
            result.unwrap_or_else(|error| error.to_response())
        })
    }
}
