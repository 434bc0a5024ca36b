//! Arenas: vectors of records that refer to each other by small keys instead of references.

use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// A small `Copy` key that identifies one record of an [`Arena`].
pub trait ArenaKey: Copy {
    /// Returns the key of the record at `index`.
    ///
    /// # Panics
    ///
    /// Panics if `index` does not fit the key.
    fn from_index(index: usize) -> Self;

    /// Returns the index of the record in its arena.
    fn index(self) -> usize;
}

/// A vector of records that is indexed by keys of type `K` only, so that indexing with a key of another arena does not
/// compile.
#[derive(Debug, Clone)]
pub struct Arena<K, T> {
    records: Vec<T>,
    keys: PhantomData<K>,
}

impl<K: ArenaKey, T> Arena<K, T> {
    /// Creates an empty arena.
    #[must_use]
    pub fn new() -> Self {
        Self {
            records: Vec::new(),
            keys: PhantomData,
        }
    }

    /// Adds a record and returns its key.
    pub fn push(&mut self, record: T) -> K {
        let key = K::from_index(self.records.len());
        self.records.push(record);
        key
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the arena has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the record at `key`, or `None` if the key comes from a larger arena.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&T> {
        self.records.get(key.index())
    }

    /// Iterates over the keys in ascending order.
    pub fn keys(&self) -> impl Iterator<Item = K> + use<K, T> {
        (0..self.records.len()).map(K::from_index)
    }

    /// Iterates over keys and records in ascending order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.records
            .iter()
            .enumerate()
            .map(|(index, record)| (K::from_index(index), record))
    }

    /// Returns the key of the first record that satisfies `predicate`.
    pub fn find(&self, mut predicate: impl FnMut(&T) -> bool) -> Option<K> {
        self.records
            .iter()
            .position(&mut predicate)
            .map(K::from_index)
    }
}

impl<K: ArenaKey, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: ArenaKey, T> FromIterator<T> for Arena<K, T> {
    fn from_iter<I: IntoIterator<Item = T>>(records: I) -> Self {
        Self {
            records: records.into_iter().collect(),
            keys: PhantomData,
        }
    }
}

impl<K: ArenaKey, T> Index<K> for Arena<K, T> {
    type Output = T;

    fn index(&self, key: K) -> &T {
        &self.records[key.index()]
    }
}

impl<K: ArenaKey, T> IndexMut<K> for Arena<K, T> {
    fn index_mut(&mut self, key: K) -> &mut T {
        &mut self.records[key.index()]
    }
}
