//! What a request asks for, whoever carries it and however often it comes.

use harrierward_quarantine::ContentId;
use harrierward_tenants::ApiKey;

use crate::exchange::ServingRequest;

impl ServingRequest {
    /// Digest of path, caller and body. A caller is known by its key; an item of a batch job by the job's tenant. A request
    /// without a body says all that it asks for in its query, which then counts too.
    pub fn content(&self) -> ContentId {
        let path = self.target.split('?').next().unwrap_or(&self.target);
        let path = if self.body.is_empty() {
            self.target.as_str()
        } else {
            path
        };
        let key = self.key.as_ref().map(ApiKey::fingerprint);
        let tenant = self.tenant.as_deref().unwrap_or_default();
        let caller = key.as_ref().map_or(tenant.as_bytes(), |key| key.as_slice());
        ContentId::of(&[
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            path.as_bytes(),
            caller,
            &self.body,
        ])
    }
}
