//! What the commands share: the store, the operator's rights, and how to print.

use std::sync::Arc;

use cicada_lib::config::Rights;
use cicada_lib::config_chunks::LoadedConfig;
use cicada_lib::config_store::ConfigStore;
use cicada_lib::ids::Name;
use cicada_lib::platform::HostRecord;
use cicada_lib::platform::Platform;
use cicada_lib::platform_http::HttpPlatform;

use crate::args::Run;
use crate::error::Error;
use crate::error::Result;
use crate::settings::Settings;
use crate::status::ProcessReport;
use crate::status::StatusClient;

/// A run of the tool.
pub(crate) struct Session {
    settings: Settings,
    /// How to run.
    pub(crate) run: Run,
    /// The configuration in the store.
    pub(crate) store: ConfigStore,
    platform: Arc<dyn Platform>,
    status: StatusClient,
}

impl Session {
    /// A session with the platform that the settings name.
    pub(crate) fn new(settings: Settings, run: Run) -> Result<Self> {
        let token = settings.platform_token.clone();
        let platform = HttpPlatform::new(settings.platform, token);
        let platform: Arc<dyn Platform> = Arc::new(platform.with_caller(Name::new("cicada")));
        Ok(Session {
            store: ConfigStore::new(platform.clone()).with_floor(run.above),
            status: StatusClient::new(settings.status_timeout),
            settings,
            run,
            platform,
        })
    }

    /// The operator's name, for the record of commits.
    pub(crate) fn author(&self) -> Name {
        let operator = self.settings.operator.as_ref();
        operator.map_or_else(|| Name::new("first"), |o| o.name.clone())
    }

    /// Reads the configuration, and sees that the operator may do what it asks for. `None` before the
    /// first commit, which has no operators to ask for.
    pub(crate) async fn load(&self, needed: Rights) -> Result<Option<LoadedConfig>> {
        let Some(loaded) = self.store.load().await? else {
            return Ok(None);
        };
        let Some(operator) = &self.settings.operator else {
            let hint = "set [operator] name and token_file, or give --operator and --token-file";
            return Err(Error::Denied("no operator is given".to_owned(), hint));
        };
        let rights = loaded.config.rights_of(&operator.name, &operator.token);
        match rights {
            // The same answer whether the name or the token is wrong.
            None => {
                let text = format!("operator '{}' and the token do not match", operator.name);
                Err(Error::Denied(
                    text,
                    "check the name, and ask for a new token",
                ))
            }
            Some(Rights::Read) if needed == Rights::Full => {
                let text = format!("operator '{}' may read only", operator.name);
                Err(Error::Denied(text, "ask an operator with full rights"))
            }
            Some(_) => Ok(Some(loaded)),
        }
    }

    /// As [`Session::load`], where there must be a configuration.
    pub(crate) async fn loaded(&self) -> Result<LoadedConfig> {
        let missing = || {
            let text = "there is no configuration yet";
            Error::Unusable(format!(
                "{text}\nHint: `cicada create operator NAME rights full`"
            ))
        };
        self.load(Rights::Read).await?.ok_or_else(missing)
    }

    /// The platform's list of hosts, by name.
    pub(crate) async fn hosts(&self) -> Result<Vec<HostRecord>> {
        let mut hosts = self.platform.hosts().await?;
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(hosts)
    }

    /// What each of the hosts' processes says of itself.
    pub(crate) async fn ask(&self, hosts: Vec<HostRecord>) -> Vec<ProcessReport> {
        self.status.ask_all(hosts).await
    }
}
