//! An immutable view of the whole configuration at one revision, with the look-ups that the request path needs.

use std::collections::{BTreeMap, HashMap};

use harrierward_wire::{ConfigChange, ConfigLogEntry, ConfigObjectRow};

use crate::objects::{
    ConfigObject, EndpointSpec, KeyDigest, LimitsSpec, ObjectId, PolicySpec, ServiceSpec, Spec,
};

/// What a key may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Call endpoints and run jobs.
    Caller,
    /// Change the tenant's objects.
    Operator,
}

/// Who holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Principal {
    /// Tenant of the key.
    pub tenant: String,
    /// What the key may do.
    pub role: Role,
}

/// The configuration at one revision.
#[derive(Debug, Clone, Default)]
pub struct ConfigSnapshot {
    revision: u64,
    objects: BTreeMap<ObjectId, ConfigObject>,
    keys: HashMap<KeyDigest, Principal>,
}

impl ConfigSnapshot {
    /// Builds a snapshot of `objects` at `revision`.
    pub fn new(revision: u64, objects: impl IntoIterator<Item = ConfigObject>) -> Self {
        let objects = objects
            .into_iter()
            .map(|object| (object.id(), object))
            .collect();
        let mut snapshot = Self {
            revision,
            objects,
            keys: HashMap::new(),
        };
        snapshot.index_keys();
        snapshot
    }

    fn index_keys(&mut self) {
        self.keys.clear();
        for object in self.objects.values() {
            let Spec::Tenant(tenant) = &object.spec else {
                continue;
            };
            let callers = tenant.caller_keys.iter().map(|key| (key, Role::Caller));
            let operators = tenant.operator_keys.iter().map(|key| (key, Role::Operator));
            for (key, role) in callers.chain(operators) {
                let principal = Principal {
                    tenant: object.name.clone(),
                    role,
                };
                self.keys.insert(key.clone(), principal);
            }
        }
    }

    /// The snapshot after `entry`, which must be the next revision; `None` if it is not, or is unreadable.
    pub fn after(&self, entry: &ConfigLogEntry) -> Option<Self> {
        if entry.revision != self.revision + 1 {
            return None;
        }
        let mut next = self.clone();
        next.revision = entry.revision;
        for change in &entry.changes {
            next.change(change, entry.revision)?;
        }
        next.index_keys();
        Some(next)
    }

    fn change(&mut self, change: &ConfigChange, revision: u64) -> Option<()> {
        let id: ObjectId = change.id.parse().ok()?;
        if change.object.is_empty() {
            self.objects.remove(&id);
            return Some(());
        }
        let mut object: ConfigObject = serde_json::from_str(&change.object).ok()?;
        object.revision = revision;
        self.objects.insert(id, object);
        Some(())
    }

    /// A snapshot from stored rows; unreadable rows make it `None`.
    pub fn from_rows(revision: u64, rows: &[ConfigObjectRow]) -> Option<Self> {
        let objects = rows
            .iter()
            .filter(|row| !row.object.is_empty())
            .map(|row| {
                let mut object: ConfigObject = serde_json::from_str(&row.object).ok()?;
                object.revision = row.revision;
                Some(object)
            })
            .collect::<Option<Vec<_>>>()?;
        Some(Self::new(revision, objects))
    }

    /// Rows of all objects, to be sent to a peer.
    pub fn to_rows(&self) -> Vec<ConfigObjectRow> {
        self.objects
            .values()
            .map(|object| ConfigObjectRow {
                revision: object.revision,
                object: serde_json::to_string(object).unwrap_or_default(),
            })
            .collect()
    }

    /// Global revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All objects in order of id.
    pub fn objects(&self) -> impl Iterator<Item = &ConfigObject> {
        self.objects.values()
    }

    /// One object.
    pub fn object(&self, id: &ObjectId) -> Option<&ConfigObject> {
        self.objects.get(id)
    }

    /// Who holds the key.
    pub fn principal(&self, key: &str) -> Option<&Principal> {
        self.keys.get(&KeyDigest::of(key))
    }

    fn find(&self, kind: crate::ObjectKind, name: &str) -> Option<&ConfigObject> {
        let id = ObjectId {
            kind,
            name: name.to_owned(),
        };
        self.objects.get(&id)
    }

    /// An endpoint and its owner.
    pub fn endpoint(&self, name: &str) -> Option<(&ConfigObject, &EndpointSpec)> {
        let object = self.find(crate::ObjectKind::Endpoint, name)?;
        match &object.spec {
            Spec::Endpoint(spec) => Some((object, spec)),
            _ => None,
        }
    }

    /// A service and its owner.
    pub fn service(&self, name: &str) -> Option<(&ConfigObject, &ServiceSpec)> {
        let object = self.find(crate::ObjectKind::Service, name)?;
        match &object.spec {
            Spec::Service(spec) => Some((object, spec)),
            _ => None,
        }
    }

    /// Endpoints that a tenant may call.
    pub fn endpoints_of<'a>(&'a self, tenant: &'a str) -> impl Iterator<Item = &'a ConfigObject> {
        self.objects.values().filter(move |object| {
            matches!(&object.spec, Spec::Endpoint(spec)
                if object.owner == tenant || spec.callers.iter().any(|caller| caller == tenant))
        })
    }

    /// True if `tenant` may call the endpoint.
    pub fn may_call(&self, tenant: &str, endpoint: &str) -> bool {
        self.endpoint(endpoint).is_some_and(|(object, spec)| {
            object.owner == tenant || spec.callers.iter().any(|caller| caller == tenant)
        })
    }

    /// Limits set on a tenant at an endpoint.
    pub fn limits(&self, tenant: &str, endpoint: &str) -> Option<&LimitsSpec> {
        self.objects.values().find_map(|object| match &object.spec {
            Spec::Limits(spec) if spec.tenant == tenant && spec.endpoint == endpoint => Some(spec),
            _ => None,
        })
    }

    /// All policies with their objects.
    pub fn policies(&self) -> impl Iterator<Item = (&ConfigObject, &PolicySpec)> {
        self.objects
            .values()
            .filter_map(|object| match &object.spec {
                Spec::Policy(spec) => Some((object, spec)),
                _ => None,
            })
    }

    /// All services with their objects.
    pub fn services(&self) -> impl Iterator<Item = (&ConfigObject, &ServiceSpec)> {
        self.objects
            .values()
            .filter_map(|object| match &object.spec {
                Spec::Service(spec) => Some((object, spec)),
                _ => None,
            })
    }
}
