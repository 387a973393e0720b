//! Validates a change before it is committed: names, owners, references, ranges and programs.

use std::collections::BTreeMap;

use crate::errors::{ConfigError, ValidationError};
use crate::objects::{ConfigObject, ObjectId, ObjectKind, Spec};
use crate::snapshot::ConfigSnapshot;

/// Maximum length of a name, bytes.
const MAX_NAME_LENGTH: usize = 64;

/// Maximum size of a policy program, bytes.
const MAX_PROGRAM_BYTES: usize = 16 * 1024;

/// Validates a policy program; the error describes what is wrong with it.
pub type ProgramCheck<'a> = &'a (dyn Fn(&str) -> Result<(), String> + Sync);

/// Objects to write (`Some`) or remove (`None`), by id.
pub type ChangeSet = BTreeMap<ObjectId, Option<ConfigObject>>;

struct Checker<'a> {
    current: &'a ConfigSnapshot,
    changes: &'a ChangeSet,
    errors: Vec<ValidationError>,
}

impl Checker<'_> {
    fn report(&mut self, object: &ObjectId, field: &str, detail: impl Into<String>) {
        self.errors.push(ValidationError {
            object: object.clone(),
            field: field.to_owned(),
            detail: detail.into(),
        });
    }

    /// Returns the object as it would be after the change.
    fn find(&self, kind: ObjectKind, name: &str) -> Option<&ConfigObject> {
        let id = ObjectId {
            kind,
            name: name.to_owned(),
        };
        match self.changes.get(&id) {
            Some(changed) => changed.as_ref(),
            None => self.current.object(&id),
        }
    }

    fn check_name(&mut self, id: &ObjectId) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let is_valid =
            !id.name.is_empty() && id.name.len() <= MAX_NAME_LENGTH && id.name.chars().all(allowed);
        if !is_valid {
            let detail = format!("1 to {MAX_NAME_LENGTH} letters, digits, '-', '_' or '.'");
            self.report(id, "name", detail);
        }
    }

    fn check_same_owner(&mut self, id: &ObjectId, owner: &str, kind: ObjectKind, name: &str) {
        let field = kind.name();
        match self.find(kind, name).map(|object| object.owner == owner) {
            None => self.report(id, field, format!("no {field} named {name}")),
            Some(false) => {
                let detail = format!("{field} {name} belongs to another tenant");
                self.report(id, field, detail);
            }
            Some(true) => {}
        }
    }

    fn check_tenant_exists(&mut self, id: &ObjectId, field: &str, name: &str) {
        if self.find(ObjectKind::Tenant, name).is_none() {
            self.report(id, field, format!("no tenant named {name}"));
        }
    }

    fn check_object(&mut self, object: &ConfigObject, program_check: ProgramCheck<'_>) {
        let id = object.id();
        self.check_name(&id);
        match &object.spec {
            Spec::Tenant(spec) => {
                if object.owner != object.name {
                    self.report(&id, "owner", "a tenant owns itself");
                }
                let keys = spec.caller_keys.iter().chain(&spec.operator_keys);
                for key in keys {
                    let is_digest =
                        key.0.len() == 64 && key.0.chars().all(|c| c.is_ascii_hexdigit());
                    if !is_digest {
                        self.report(&id, "keys", "a key is given as SHA-256 in 64 hex digits");
                    }
                }
            }
            Spec::Service(spec) => {
                if spec.model.is_empty() {
                    self.report(&id, "model", "must not be empty");
                }
            }
            Spec::Endpoint(spec) => {
                self.check_same_owner(&id, &object.owner, ObjectKind::Service, &spec.service);
                for caller in &spec.callers {
                    self.check_tenant_exists(&id, "callers", caller);
                }
            }
            Spec::Limits(spec) => {
                self.check_same_owner(&id, &object.owner, ObjectKind::Endpoint, &spec.endpoint);
                self.check_tenant_exists(&id, "tenant", &spec.tenant);
                if !(spec.requests_per_second > 0.0 && spec.requests_per_second <= 1e6) {
                    self.report(&id, "requests_per_second", "more than 0, at most 1000000");
                }
                if spec.burst == 0 {
                    self.report(&id, "burst", "1 or more");
                }
                if spec.concurrent_requests == 0 {
                    self.report(&id, "concurrent_requests", "1 or more");
                }
            }
            Spec::Policy(spec) => {
                self.check_same_owner(&id, &object.owner, ObjectKind::Service, &spec.service);
                if spec.program.len() > MAX_PROGRAM_BYTES {
                    let detail = format!("at most {MAX_PROGRAM_BYTES} bytes");
                    self.report(&id, "program", detail);
                } else if let Err(detail) = program_check(&spec.program) {
                    self.report(&id, "program", detail);
                }
            }
        }
    }

    /// Reports keys that occur more than once, so that a key identifies one tenant and role.
    fn check_keys_unique(&mut self) {
        let changed = self.changes.values().flatten();
        let unchanged = self
            .current
            .objects()
            .filter(|object| !self.changes.contains_key(&object.id()));
        let mut holders: BTreeMap<&str, &str> = BTreeMap::new();
        let mut duplicates = Vec::new();
        for object in unchanged.chain(changed) {
            let Spec::Tenant(spec) = &object.spec else {
                continue;
            };
            for key in spec.caller_keys.iter().chain(&spec.operator_keys) {
                let holder = holders.insert(&key.0, &object.name);
                if holder.is_some() {
                    duplicates.push(object.id());
                }
            }
        }
        for id in duplicates {
            self.report(&id, "keys", "this key is already in use");
        }
    }

    /// Reports removed objects to which a remaining object refers.
    fn check_removals(&mut self) {
        let removed: Vec<ObjectId> = self
            .changes
            .iter()
            .filter(|(_, object)| object.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in removed {
            let refers_to_it = |object: &ConfigObject| match (&object.spec, id.kind) {
                (Spec::Endpoint(spec), ObjectKind::Service) => spec.service == id.name,
                (Spec::Policy(spec), ObjectKind::Service) => spec.service == id.name,
                (Spec::Limits(spec), ObjectKind::Endpoint) => spec.endpoint == id.name,
                (_, ObjectKind::Tenant) => object.owner == id.name && object.name != id.name,
                _ => false,
            };
            let changed = self.changes.values().flatten();
            let unchanged = self
                .current
                .objects()
                .filter(|object| !self.changes.contains_key(&object.id()));
            let referrer = unchanged.chain(changed).find(|object| refers_to_it(object));
            if let Some(referrer) = referrer.map(ConfigObject::id) {
                self.report(&id, "remove", format!("{referrer} still refers to it"));
            }
        }
    }
}

/// Validates `changes` against the current configuration; the error lists everything that is wrong.
pub fn check_changes(
    current: &ConfigSnapshot,
    changes: &ChangeSet,
    program_check: ProgramCheck<'_>,
) -> Result<(), ConfigError> {
    let mut checker = Checker {
        current,
        changes,
        errors: Vec::new(),
    };
    for object in changes.values().flatten() {
        checker.check_object(object, program_check);
    }
    checker.check_keys_unique();
    checker.check_removals();
    if checker.errors.is_empty() {
        Ok(())
    } else {
        Err(ConfigError::Invalid(checker.errors))
    }
}
