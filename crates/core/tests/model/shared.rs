//! Parts of the model's state that many states share.

use std::hash;
use std::hash::Hasher as _;
use std::ops;
use std::sync;

/// Copy-on-write value with a cached hash, shared between states.
#[derive(Clone, Debug)]
pub(crate) struct Shared<T> {
    pub(crate) hash: u64,
    value: sync::Arc<T>,
}

impl<T: hash::Hash> Shared<T> {
    pub(crate) fn new(value: T) -> Shared<T> {
        let mut hasher = hash::DefaultHasher::new();
        value.hash(&mut hasher);
        Shared {
            hash: hasher.finish(),
            value: sync::Arc::new(value),
        }
    }
}

impl<T: Clone + hash::Hash> Shared<T> {
    /// Replaces the value with a changed copy.
    pub(crate) fn change<R>(&mut self, change: impl FnOnce(&mut T) -> R) -> R {
        let mut value = self.value.as_ref().clone();
        let result = change(&mut value);
        *self = Shared::new(value);
        result
    }
}

impl<T> ops::Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T: Eq> Eq for Shared<T> {}

impl<T: PartialEq> PartialEq for Shared<T> {
    fn eq(&self, other: &Shared<T>) -> bool {
        self.hash == other.hash
            && (sync::Arc::ptr_eq(&self.value, &other.value) || self.value == other.value)
    }
}

impl<T> hash::Hash for Shared<T> {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        state.write_u64(self.hash);
    }
}
