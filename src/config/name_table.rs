//! Names with dense integer ids, for classes, tenants, zones and machine types.

use std::collections::HashMap;

/// A bidirectional map of names and ids. [`NameTable::intern`] assigns ids from 0 in the order of first use.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    ids: HashMap<String, u32>,
    names: Vec<String>,
}

impl NameTable {
    /// Creates a table that assigns ids in the order of `names`.
    pub(super) fn from_names<'a>(names: impl Iterator<Item = &'a String>) -> Self {
        let mut table = NameTable::default();
        for name in names {
            table.intern(name);
        }
        table
    }

    /// Creates a table of names with given ids. Ids that are not given have no name.
    pub(super) fn from_ids<'a>(names_and_ids: impl Iterator<Item = (&'a String, u32)>) -> Self {
        let mut table = NameTable::default();
        for (name, id) in names_and_ids {
            let index = id as usize;
            let length = table.names.len().max(index + 1);
            table.names.resize(length, String::new());
            table.names[index] = name.clone();
            table.ids.insert(name.clone(), id);
        }
        table
    }

    /// Returns the id of a name; a new name gets the next id.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as u32;
        self.ids.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        id
    }

    /// Returns the id of a name, or `None` if the table doesn't have it.
    pub fn lookup(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// Iterates over the names with their ids, in the order of the ids.
    pub fn iter(&self) -> impl Iterator<Item = (&String, u32)> {
        self.names
            .iter()
            .filter_map(|name| Some((name, self.lookup(name)?)))
    }

    /// Returns the names in the order of their ids; ids without a name have an empty string.
    pub(super) fn names(&self) -> &[String] {
        &self.names
    }

    /// Returns the name with this id, or an empty string.
    pub fn name(&self, id: u32) -> &str {
        self.names.get(id as usize).map_or("", String::as_str)
    }
}

/// Returns the FNV-1a hash of a name. Dispatchers exchange these hashes, so the result must not change between
/// versions.
pub fn fnv1a_hash(name: &str) -> u64 {
    let add_byte = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, add_byte)
}
