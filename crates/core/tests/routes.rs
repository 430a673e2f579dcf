//! Routing tables: validation of documents, and the route and team that a request resolves to.

use peargap_core::routes;

fn service(name: &str) -> routes::Service {
    routes::Service {
        cold_per_s: None,
        connections: 10,
        engine: None,
        name: name.to_owned(),
    }
}

fn draft(name: &str, host: &str, prefix: &str, shares: &[(&str, f64)]) -> routes::Draft {
    let shares = shares.iter().map(|(service, weight)| routes::NamedShare {
        service: (*service).to_owned(),
        weight: *weight,
    });
    routes::Draft {
        route: routes::Route {
            attempts: 1,
            is_resumable: false,
            gap_ms: None,
            host: host.to_owned(),
            kind: routes::Kind::Once,
            name: name.to_owned(),
            objective_ms: 150,
            prefix: prefix.to_owned(),
            public: false,
            rank: 0,
            shares: Vec::new(),
            timeout_ms: 800,
        },
        shares: shares.collect(),
    }
}

fn team(name: &str, keys: &[&str]) -> routes::Team {
    routes::Team {
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        name: name.to_owned(),
        rank: None,
    }
}

fn source() -> routes::Source {
    routes::Source {
        limits: routes::Limits::default(),
        routes: vec![
            draft("wide", "a.example", "/x/", &[("desk", 1.0)]),
            draft(
                "narrow",
                "a.example",
                "/x/y/",
                &[("desk", 9.0), ("pool", 1.0)],
            ),
        ],
        services: vec![service("desk"), service("pool")],
        teams: Some(vec![team("red", &["k1", "k2"]), team("blue", &["k3"])]),
        version: 7,
    }
}

fn problems(source: routes::Source) -> Vec<String> {
    let findings = routes::Table::build(source).expect_err("findings");
    findings.iter().map(ToString::to_string).collect()
}

#[test]
fn the_longest_prefix_wins() {
    let table = routes::Table::build(source()).expect("a table");
    let found = table.find("A.example", "/x/y/z", Some("k3"));
    let routes::Access::Granted { route, team } = found else {
        panic!("{found:?}");
    };
    assert_eq!(table.route(route).name, "narrow");
    assert_eq!(table.team(team.expect("a team")).name, "blue");
    let found = table.find("a.example", "/x/yy", Some("k1"));
    let routes::Access::Granted { route, .. } = found else {
        panic!("{found:?}");
    };
    assert_eq!(table.route(route).name, "wide");
}

#[test]
fn an_unknown_route_is_reported_before_a_bad_key() {
    let table = routes::Table::build(source()).expect("a table");
    assert_eq!(table.find("a.example", "/x/", None), routes::Access::Denied);
    assert_eq!(
        table.find("a.example", "/x/", Some("k9")),
        routes::Access::Denied
    );
    assert_eq!(
        table.find("a.example", "/none/", Some("k9")),
        routes::Access::Unknown
    );
    assert_eq!(
        table.find("b.example", "/x/", Some("k1")),
        routes::Access::Unknown
    );
}

#[test]
fn public_routes_need_no_key() {
    let mut source = source();
    source.routes[0].route.public = true;
    let table = routes::Table::build(source).expect("a table");
    assert!(matches!(
        table.find("a.example", "/x/", None),
        routes::Access::Granted { team: None, .. }
    ));
}

#[test]
fn requests_are_split_by_weight() {
    let table = routes::Table::build(source()).expect("a table");
    let routes::Access::Granted { route, .. } = table.find("a.example", "/x/y/", Some("k1")) else {
        panic!("no route");
    };
    let name = |draw| table.service(table.pick_service(route, draw)).name.as_str();
    assert_eq!(name(0.0), "desk");
    assert_eq!(name(0.89), "desk");
    assert_eq!(name(0.91), "pool");
    assert_eq!(name(1.0), "pool");
}

#[test]
fn a_share_without_weight_gets_nothing() {
    let mut source = source();
    source.routes[1].shares[1].weight = 0.0;
    let table = routes::Table::build(source).expect("a table");
    let routes::Access::Granted { route, .. } = table.find("a.example", "/x/y/", Some("k1")) else {
        panic!("no route");
    };
    assert_eq!(table.service(table.pick_service(route, 1.0)).name, "desk");
}

#[test]
fn every_finding_is_reported_with_its_place() {
    let mut source = source();
    source.routes[0].route.timeout_ms = 0;
    source.routes[1].shares[0].service = "gone".to_owned();
    source
        .routes
        .push(draft("again", "a.example", "/x/", &[("desk", 1.0)]));
    source
        .routes
        .push(draft("light", "a.example", "/l/", &[("desk", 0.0)]));
    source
        .routes
        .push(draft("odd", "a.example", "odd", &[("desk", 1.0)]));
    if let Some(teams) = &mut source.teams {
        teams.push(team("green", &["k3"]));
    }
    assert_eq!(
        problems(source),
        [
            "team green: holds a key of another team",
            "route wide: has a timeout of 0",
            "route narrow: service \"gone\" is unknown",
            "route again: has the host and prefix of another route",
            "route light: has no share with a weight above 0",
            "route odd: prefix \"odd\" needs slashes at both ends",
        ]
    );
}

#[test]
fn a_team_may_name_a_key_twice() {
    let mut source = source();
    source.teams = Some(vec![team("red", &["k1", "k1"])]);
    assert!(routes::Table::build(source).is_ok());
}
