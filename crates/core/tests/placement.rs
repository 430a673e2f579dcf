//! Placement of models: by priority, without unneeded moves, and with a bound on the engines that
//! load at once.

use std::collections;
use std::sync;

use peargap_core::config;
use peargap_core::fences;
use peargap_core::manifest;
use peargap_core::members;
use peargap_core::placement;

fn model(name: &str, priority: u8, replicas: u32) -> manifest::Model {
    manifest::Model {
        max_output_tokens: 1,
        max_prompt_tokens: 1,
        name: name.to_owned(),
        priority,
        replicas,
    }
}

/// Returns `count` engines in each of `domains` domains, all with `offers` loaded.
fn build_config(
    models: Vec<manifest::Model>,
    domains: usize,
    count: usize,
    offers: &[&str],
) -> config::Config {
    let manifest = manifest::Manifest {
        models,
        ..manifest::Manifest::default()
    };
    let mut config = config::Config {
        manifest: sync::Arc::new(manifest),
        ..config::Config::default()
    };
    for domain in 0..domains {
        for index in 0..count {
            add_engine(&mut config, &format!("d{domain}-e{index}"), domain, offers);
        }
    }
    config
}

fn add_engine(config: &mut config::Config, name: &str, domain: usize, offers: &[&str]) {
    let member = members::Member {
        announcement: Some(members::Announcement {
            checks_fences: true,
            kind: members::Kind::Engine,
            memory_tokens: 1,
            offers: offers.iter().map(|offer| (*offer).to_owned()).collect(),
            upstream: name.to_owned(),
        }),
        epoch: 1,
        node: members::Node {
            address: String::new(),
            domain: format!("d{domain}"),
            incarnation: "i".to_owned(),
            name: name.to_owned(),
            role: members::Role::Agent,
        },
    };
    config
        .members
        .insert(name.to_owned(), sync::Arc::new(member));
}

fn plan(config: &config::Config) -> Vec<placement::Placement> {
    placement::plan(config, &collections::BTreeSet::new(), 100)
}

/// Makes every ordered engine announce the models that it was told to load.
fn apply_placements(config: &mut config::Config, placements: &[placement::Placement]) {
    for placement in placements {
        let domain = placement.upstream[1..2].parse().unwrap();
        let models: Vec<&str> = placement.models.iter().map(String::as_str).collect();
        add_engine(config, &placement.upstream, domain, &models);
    }
}

fn count(config: &config::Config, model: &str) -> usize {
    let has = |member: &&sync::Arc<members::Member>| {
        member
            .announcement
            .as_ref()
            .unwrap()
            .offers
            .iter()
            .any(|offer| offer == model)
    };
    config.members.values().filter(has).count()
}

#[test]
fn nothing_moves_when_every_model_has_its_replicas() {
    let config = build_config(vec![model("a", 1, 2), model("b", 2, 0)], 2, 2, &["a"]);
    assert_eq!(plan(&config), []);
}

#[test]
fn surplus_replicas_are_replaced_first_and_new_ones_spread_over_domains() {
    let mut config = build_config(vec![model("a", 1, 4), model("b", 2, 4)], 4, 2, &["a"]);
    let mut domains = collections::BTreeSet::new();
    for _ in 0..4 {
        let placements = plan(&config);
        assert_eq!(placements.len(), 1, "one of eight engines loads at once");
        assert_eq!(
            placements[0].replaced.as_ref().unwrap().cost,
            placement::Cost::Surplus
        );
        domains.insert(placements[0].upstream[..2].to_owned());
        apply_placements(&mut config, &placements);
    }
    assert_eq!(plan(&config), []);
    assert_eq!((count(&config, "a"), count(&config, "b")), (4, 4));
    assert_eq!(domains.len(), 4);
}

#[test]
fn a_model_replaces_only_the_one_with_the_lowest_priority() {
    let models = vec![model("first", 0, 2), model("mid", 3, 2), model("low", 7, 2)];
    let mut config = build_config(models, 2, 1, &["mid"]);
    add_engine(&mut config, "d0-x", 0, &["low"]);
    add_engine(&mut config, "d1-x", 1, &["low"]);
    for _ in 0..2 {
        let placements = plan(&config);
        assert_eq!(placements[0].model, "first");
        assert_eq!(placements[0].replaced.as_ref().unwrap().model, "low");
        apply_placements(&mut config, &placements);
    }
    assert_eq!(plan(&config), []);
    assert_eq!((count(&config, "first"), count(&config, "mid")), (2, 2));
}

#[test]
fn engines_that_load_are_bounded_by_the_smallest_domain() {
    let mut config = build_config(vec![model("b", 1, 20)], 4, 5, &["a"]);
    let placements = plan(&config);
    assert_eq!(placements.len(), 4);
    for placement in &placements {
        let order = config::Order {
            fence: 1,
            models: placement.models.clone(),
            upstream: placement.upstream.clone(),
        };
        config
            .orders
            .insert(placement.upstream.clone(), sync::Arc::new(order));
    }
    assert_eq!(plan(&config), [], "all four are still loading");
}

#[test]
fn engines_in_a_domain_that_is_out_get_no_orders() {
    let mut config = build_config(vec![model("b", 1, 4)], 2, 1, &["a"]);
    config.domains_out.insert("d0".to_owned());
    let placements = plan(&config);
    assert_eq!(placements.len(), 1);
    assert_eq!(placements[0].upstream, "d1-e0");
}

#[test]
fn an_engine_that_did_not_load_is_ordered_again_under_a_new_fence() {
    let mut config = build_config(vec![model("b", 1, 1)], 1, 1, &["a"]);
    let models = plan(&config)[0].models.clone();
    assert!(fences::give_order(&mut config, "d0-e0", models.clone(), 7));
    assert_eq!(plan(&config), [], "the engine is loading");
    let failed = collections::BTreeSet::from(["d0-e0".to_owned()]);
    let again = placement::plan(&config, &failed, 100);
    assert_eq!(again[0].models, models);
    assert!(fences::give_order(&mut config, "d0-e0", models.clone(), 8));
    assert_eq!(config.orders["d0-e0"].fence, 8);
    apply_placements(&mut config, &again);
    assert!(!fences::give_order(&mut config, "d0-e0", models, 9));
}
