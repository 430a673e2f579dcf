//! Placement of models on engines.
//!
//! An engine has as many slots as it announced models, at least one. A model with too few replicas
//! takes an empty slot first, then the slot of a model with surplus replicas, then the slot of the
//! model with the lowest priority. No other model moves, and only a bounded number of engines load
//! at once.

use std::collections;

use crate::config;
use crate::manifest;
use crate::members;

/// An order for one engine to load a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Model to load.
    pub model: String,
    /// All models that the engine is to have loaded.
    pub models: Vec<String>,
    /// Model that is unloaded to free the slot; none if the slot was empty.
    pub replaced: Option<Replaced>,
    /// Name of the upstream.
    pub upstream: String,
}

/// A model that is unloaded to free its slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replaced {
    /// Why it may be unloaded.
    pub cost: Cost,
    /// Name of the model.
    pub model: String,
}

/// Cost of taking a slot, cheapest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cost {
    /// The slot is empty.
    Free,
    /// The slot's model has more replicas than wanted or is not in the manifest.
    Surplus,
    /// The slot's model has a lower priority; a larger number is less important.
    Lower(core::cmp::Reverse<u8>),
}

/// An engine that may be given models.
#[derive(Clone, Debug)]
struct Engine<'a> {
    domain: &'a str,
    loading: bool,
    models: Vec<String>,
    slots: usize,
    upstream: &'a str,
}

/// A slot that a model may take.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Slot {
    cost: Cost,
    /// Replicas that the model has in the engine's domain already.
    replicas_in_domain: usize,
    engine: usize,
    /// Index of the slot among the engine's models.
    index: usize,
}

/// Returns the next placements, at most `max_loads` of them.
///
/// Engines in `failed` did not carry out their last order: their announced models count instead of
/// the ordered ones, and they may receive another order.
pub fn plan(
    config: &config::Config,
    failed: &collections::BTreeSet<String>,
    max_loads: usize,
) -> Vec<Placement> {
    let mut engines = list_engines(config, failed);
    let mut placements = Vec::new();
    while placements.len() < max_loads {
        let Some(placement) = place_next(config, &mut engines) else {
            break;
        };
        placements.push(placement);
    }
    placements
}

/// Returns how many of `models` the upstream has not announced, so would have to load.
pub fn count_loads(config: &config::Config, upstream: &str, models: &[String]) -> usize {
    let offers = find_offers(config, upstream);
    let has = |model: &&String| !offers.is_some_and(|offers| offers.contains(model));
    models.iter().filter(has).count()
}

fn find_offers<'a>(config: &'a config::Config, upstream: &str) -> Option<&'a Vec<String>> {
    let mut announced = config
        .members
        .values()
        .filter_map(|member| member.announcement.as_ref());
    let announced = announced.find(|announcement| announcement.upstream == upstream);
    announced.map(|announcement| &announcement.offers)
}

fn list_engines<'a>(
    config: &'a config::Config,
    failed: &collections::BTreeSet<String>,
) -> Vec<Engine<'a>> {
    let mut engines = Vec::new();
    for member in config.members.values() {
        let Some(announcement) = &member.announcement else {
            continue;
        };
        let upstream = &announcement.upstream;
        let is_engine = announcement.kind == members::Kind::Engine;
        let is_open = config.is_open(upstream, &member.node.domain);
        if !is_engine || !is_open {
            continue;
        }
        let order = config.orders.get(upstream);
        let order = order.filter(|_| !failed.contains(upstream));
        let models = order.map_or(&announcement.offers, |order| &order.models);
        engines.push(Engine {
            domain: &member.node.domain,
            loading: models
                .iter()
                .any(|model| !announcement.offers.contains(model)),
            models: models.clone(),
            slots: announcement.offers.len().max(models.len()).max(1),
            upstream,
        });
    }
    engines
}

fn place_next(config: &config::Config, engines: &mut [Engine<'_>]) -> Option<Placement> {
    let mut models: Vec<&manifest::Model> = config.manifest.models.iter().collect();
    models.sort_by_key(|model| (model.priority, &model.name));
    for model in models {
        let wanted = usize::try_from(model.replicas).unwrap_or(usize::MAX);
        if count_replicas(engines, &model.name) >= wanted {
            continue;
        }
        if let Some(slot) = pick_slot(config, engines, model) {
            return Some(take_slot(engines, model, &slot));
        }
    }
    None
}

fn count_replicas(engines: &[Engine<'_>], model: &str) -> usize {
    let has = |engine: &&Engine<'_>| engine.models.iter().any(|known| known == model);
    engines.iter().filter(has).count()
}

fn pick_slot(
    config: &config::Config,
    engines: &[Engine<'_>],
    model: &manifest::Model,
) -> Option<Slot> {
    let mut slots = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        let has = engine.models.contains(&model.name);
        if has || engine.loading || !may_load(engines, engine.domain) {
            continue;
        }
        slots.extend(list_slots(config, engines, index, model));
    }
    slots.into_iter().min()
}

fn list_slots(
    config: &config::Config,
    engines: &[Engine<'_>],
    engine: usize,
    model: &manifest::Model,
) -> Vec<Slot> {
    let Engine {
        domain,
        models,
        slots,
        ..
    } = &engines[engine];
    let in_domain = |other: &&Engine<'_>| other.domain == *domain;
    let in_domain: Vec<Engine<'_>> = engines.iter().filter(in_domain).cloned().collect();
    let replicas_in_domain = count_replicas(&in_domain, &model.name);
    let slot = |cost, index| Slot {
        replicas_in_domain,
        cost,
        engine,
        index,
    };
    if models.len() < *slots {
        return vec![slot(Cost::Free, models.len())];
    }
    let costs = models.iter().enumerate().filter_map(|(index, loaded)| {
        let cost = replacement_cost(config, engines, loaded, model)?;
        Some(slot(cost, index))
    });
    costs.collect()
}

/// Returns the cost of replacing `loaded` by `model`, or `None` if it must not be replaced.
fn replacement_cost(
    config: &config::Config,
    engines: &[Engine<'_>],
    loaded: &str,
    model: &manifest::Model,
) -> Option<Cost> {
    let mut known = config.manifest.models.iter();
    let Some(known) = known.find(|known| known.name == loaded) else {
        return Some(Cost::Surplus);
    };
    let wanted = usize::try_from(known.replicas).unwrap_or(usize::MAX);
    if count_replicas(engines, loaded) > wanted {
        return Some(Cost::Surplus);
    }
    (known.priority > model.priority).then_some(Cost::Lower(core::cmp::Reverse(known.priority)))
}

/// Returns whether one more engine of the domain may load.
///
/// At most half of a domain's engines load at once, so that the others keep serving. Over all
/// domains fewer engines load at once than the smallest domain has, so that loading takes out less
/// capacity than the loss of a domain. Both limits allow at least one.
fn may_load(engines: &[Engine<'_>], domain: &str) -> bool {
    let mut sizes = collections::BTreeMap::new();
    let mut loading = collections::BTreeMap::new();
    for engine in engines {
        *sizes.entry(engine.domain).or_insert(0_usize) += 1;
        *loading.entry(engine.domain).or_insert(0_usize) += usize::from(engine.loading);
    }
    let smallest = sizes.values().copied().min().unwrap_or(0);
    let total: usize = loading.values().sum();
    let size = sizes.get(domain).copied().unwrap_or(0);
    let here = loading.get(domain).copied().unwrap_or(0);
    total < smallest.saturating_sub(1).max(1) && here < (size / 2).max(1)
}

fn take_slot(engines: &mut [Engine<'_>], model: &manifest::Model, slot: &Slot) -> Placement {
    let engine = &mut engines[slot.engine];
    let replaced = match slot.cost {
        Cost::Free => {
            engine.models.push(model.name.clone());
            None
        }
        Cost::Lower(_) | Cost::Surplus => {
            let previous = core::mem::replace(&mut engine.models[slot.index], model.name.clone());
            Some(Replaced {
                cost: slot.cost,
                model: previous,
            })
        }
    };
    engine.loading = true;
    Placement {
        model: model.name.clone(),
        models: engine.models.clone(),
        replaced,
        upstream: engine.upstream.to_owned(),
    }
}
