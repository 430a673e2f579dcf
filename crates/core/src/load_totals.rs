//! Sums of the load that several gateways have on each upstream.
//!
//! The sums are kept up to date with each report, so that the view of one gateway costs a pass over
//! the upstreams only, however many gateways there are.

use std::collections;

use crate::balance;

/// Load on upstreams, by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loads(collections::BTreeMap<String, balance::Load>);

impl Loads {
    /// Returns whether there is no load.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the loads by name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, balance::Load)> {
        self.0.iter().map(|(name, load)| (name, *load))
    }

    /// Returns the load on one upstream; none if the gateway has no request there.
    #[must_use]
    pub fn get(&self, name: &str) -> balance::Load {
        self.0.get(name).copied().unwrap_or_default()
    }

    /// Returns the loads that differ from those in `former`. An upstream that no longer has any
    /// load is listed with none.
    #[must_use]
    pub fn diff(&self, former: &Loads) -> Loads {
        let gone = former.0.keys().filter(|name| !self.0.contains_key(*name));
        let gone = gone.map(|name| (name.clone(), balance::Load::default()));
        let changed = self.iter().filter(|(name, load)| former.get(name) != *load);
        let changed = changed.map(|(name, load)| (name.clone(), load));
        Loads(gone.chain(changed).collect())
    }
}

impl FromIterator<(String, balance::Load)> for Loads {
    fn from_iter<T: IntoIterator<Item = (String, balance::Load)>>(loads: T) -> Loads {
        let loads = loads.into_iter();
        Loads(
            loads
                .filter(|(_name, load)| *load != balance::Load::default())
                .collect(),
        )
    }
}

/// Sums over all gateways.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    sums: Loads,
}

impl Totals {
    /// Replaces a gateway's loads.
    pub fn replace(&mut self, former: &Loads, loads: &Loads) {
        for (name, load) in former.iter() {
            self.update(name, |sum| sum.minus(load));
        }
        for (name, load) in loads.iter() {
            self.update(name, |sum| sum.plus(load));
        }
    }

    fn update(&mut self, name: &str, change: impl FnOnce(balance::Load) -> balance::Load) {
        let sum = change(self.sums.get(name));
        if sum == balance::Load::default() {
            self.sums.0.remove(name);
        } else {
            self.sums.0.insert(name.to_owned(), sum);
        }
    }

    /// Returns the sums without the part of one gateway.
    #[must_use]
    pub fn without(&self, own: &Loads) -> Loads {
        let sums = self.sums.iter();
        sums.map(|(name, sum)| (name.clone(), sum.minus(own.get(name))))
            .collect()
    }
}
