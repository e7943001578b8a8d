//! Names with dense integer ids, for classes, tenants, zones and machine types.

use std::collections::HashMap;

/// Names of one kind and their ids, which count from 0 in the order in which the names were first seen.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    ids: HashMap<String, u32>,
    names: Vec<String>,
}

impl NameTable {
    /// A table of these names, with ids in their order.
    pub(super) fn from_names<'a>(names: impl Iterator<Item = &'a String>) -> Self {
        let mut table = NameTable::default();
        for name in names {
            table.intern(name);
        }
        table
    }

    /// A table of names whose ids are given; ids between them stay without a name.
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

    /// The id of a name; a new name gets the next id.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as u32;
        self.ids.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        id
    }

    /// The id of a name, if the table has it.
    pub fn lookup(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// All names with their ids, in the order of the ids.
    pub fn iter(&self) -> impl Iterator<Item = (&String, u32)> {
        self.names
            .iter()
            .filter_map(|name| Some((name, self.lookup(name)?)))
    }

    /// The names in the order of their ids, with an empty one for an id that has none.
    pub(super) fn names(&self) -> &[String] {
        &self.names
    }

    /// The name with this id; empty if there is none.
    pub fn name(&self, id: u32) -> &str {
        self.names.get(id as usize).map_or("", String::as_str)
    }
}

/// The FNV-1a hash of a name: the same in every dispatcher and in every version.
pub fn fnv1a_hash(name: &str) -> u64 {
    let add_byte = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, add_byte)
}
