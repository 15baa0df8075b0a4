//! Tests of look-ups in the routing table.

use super::*;

fn route(name: &str, objective_ms: u64, priority: u8, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "depot.example".into(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Idempotent,
        timeout: MS(3_000),
        objective: MS(objective_ms),
        priority,
        services: vec![(service.into(), 1)],
        attempts: 1,
        is_public: true,
        is_resumable: false,
    }
}

/// A limit on an engine's pending work that fits only long objectives would leave no room for
/// requests with a short objective.
#[test]
fn the_objective_of_more_urgent_routes_bounds_the_work_ahead() {
    let urgent = route("urgent", 300, 0, "notes");
    let relaxed = route("calm", 600, 1, "notes");
    let other = route("other", 50, 0, "slots");
    let table = RoutingTable::new(&RoutingConfig {
        version: 1,
        routes: vec![urgent.clone(), relaxed.clone(), other],
        services: Vec::new(),
        customers: Vec::new(),
        body_max_bytes: 1,
        connection_idle: MS(60_000),
    });
    assert_eq!(table.shortest_objective("notes", &relaxed), MS(300));
    assert_eq!(table.shortest_objective("notes", &urgent), MS(300));
}

#[test]
fn customers_that_share_prompts_agree_on_who_is_isolated() {
    let salt = |isolated: &[&str]| CacheGroup::Shared(isolated_set(isolated.to_vec())).salt(3);
    assert_eq!(salt(&[]), "3");
    assert_eq!(salt(&["a", "b"]), salt(&["b", "a"]));
    let salts = [
        salt(&[]),
        salt(&["a"]),
        salt(&["a", "b"]),
        CacheGroup::Isolated("a".into()).salt(3),
        CacheGroup::Isolated("b".into()).salt(3),
        CacheGroup::Isolated("a".into()).salt(4),
    ];
    let different: std::collections::HashSet<_> = salts.iter().collect();
    assert_eq!(different.len(), salts.len());
}
