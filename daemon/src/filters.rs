//! The filter chain that every caller's request passes before its body is read.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use cicada_lib::config_chunks::LoadedConfig;
use cicada_lib::ids::Name;
use cicada_lib::outcome::NotRun;
use cicada_lib::outcome::RefusalReason;
use cicada_lib::secrets::KeyDigest;
use cicada_lib::secrets::Secret;
use xitca_web::http::HeaderMap;
use xitca_web::http::StatusCode;
use xitca_web::http::header::AUTHORIZATION;
use xitca_web::http::header::CONTENT_LENGTH;
use xitca_web::http::header::TRANSFER_ENCODING;

use crate::refusal::Refusal;

/// The result of a filter.
pub(crate) type Result<T> = std::result::Result<T, Refusal>;

/// A request on its way through the chain.
pub(crate) struct Inbound<'a> {
    /// Its headers.
    pub(crate) headers: &'a HeaderMap,
    /// The configuration under which it is served to its end.
    pub(crate) config: Arc<LoadedConfig>,
    /// Who is charged; set by [`Authenticate`].
    pub(crate) workspace: Name,
    /// The caller's key; set by [`Authenticate`].
    pub(crate) caller: Option<KeyDigest>,
    /// Held until the request is over; set by [`CallerLimit`].
    pub(crate) permit: Option<Permit>,
}

/// One step of the chain.
pub(crate) trait Filter: Send + Sync {
    /// Lets the request pass, or says why not.
    fn apply(&self, inbound: &mut Inbound<'_>) -> Result<()>;
}

/// Refuses requests whose length two readers could understand differently, by which a second
/// request could be hidden in the first.
pub(crate) struct Framing;

impl Filter for Framing {
    fn apply(&self, inbound: &mut Inbound<'_>) -> Result<()> {
        let lengths = inbound.headers.get_all(CONTENT_LENGTH).iter().count();
        let coded = inbound.headers.get_all(TRANSFER_ENCODING).iter().count();
        if lengths + coded <= 1 {
            return Ok(());
        }
        let message = "the request gives its length more than once; send one Content-Length or one Transfer-Encoding";
        Err(Refusal::bad(
            StatusCode::BAD_REQUEST,
            "ambiguous_length",
            message,
        ))
    }
}

/// Finds the workspace of the caller's key.
pub(crate) struct Authenticate;

impl Filter for Authenticate {
    fn apply(&self, inbound: &mut Inbound<'_>) -> Result<()> {
        let unauthorized =
            |message| Refusal::bad(StatusCode::UNAUTHORIZED, "invalid_api_key", message);
        let secret = bearer(inbound.headers)
            .ok_or_else(|| unauthorized("no key is given; send Authorization: Bearer KEY"))?;
        let config = &inbound.config.config;
        let workspace = config
            .workspace_of(&secret)
            .ok_or_else(|| unauthorized("the key is not known; ask the operator for a new one"))?;
        inbound.workspace = workspace.clone();
        inbound.caller = Some(secret.digest());
        Ok(())
    }
}

fn bearer(headers: &HeaderMap) -> Option<Secret> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| Secret::new(key.trim()))
}

type Counts = Arc<Mutex<HashMap<KeyDigest, u32>>>;

/// Bounds the requests that one caller has open at this entry.
#[derive(Default)]
pub(crate) struct CallerLimit {
    // Only callers with an open request have an entry.
    open: Counts,
}

/// A caller's open request.
pub(crate) struct Permit {
    open: Counts,
    caller: KeyDigest,
}

impl Filter for CallerLimit {
    fn apply(&self, inbound: &mut Inbound<'_>) -> Result<()> {
        let Some(caller) = inbound.caller else {
            return Ok(());
        };
        let config = &inbound.config.config;
        let most = config
            .workspaces
            .get(&inbound.workspace)
            .map_or(0, |workspace| workspace.max_caller);
        let mut open = lock(&self.open);
        let count = open.entry(caller).or_insert(0);
        if most > 0 && *count >= most {
            let reason = RefusalReason::ConcurrencyLimited;
            return Err(Refusal::not_run(&NotRun::before_dispatch(reason, None)));
        }
        *count += 1;
        inbound.permit = Some(Permit {
            open: self.open.clone(),
            caller,
        });
        Ok(())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut open = lock(&self.open);
        if let Some(count) = open.get_mut(&self.caller) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.caller);
            }
        }
    }
}

fn lock(
    counts: &Mutex<HashMap<KeyDigest, u32>>,
) -> std::sync::MutexGuard<'_, HashMap<KeyDigest, u32>> {
    counts
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
