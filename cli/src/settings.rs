//! The tool's settings: an INI file, overridden by flags. Every fault is told in one go.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::secrets::Secret;
use ini::Ini;

use crate::args::Run;
use crate::error::Error;
use crate::error::Result;

// A process that does not answer in this time is told as unreachable. Regions are 30 ms apart.
const STATUS_TIMEOUT: Duration = Duration::from_millis(2_000);
const STATUS_TIMEOUTS: std::ops::RangeInclusive<u64> = 50..=60_000;

const KEYS: [(&str, &str); 5] = [
    ("platform", "address"),
    ("platform", "token_file"),
    ("operator", "name"),
    ("operator", "token_file"),
    ("status", "timeout"),
];

/// The settings.
#[derive(Debug)]
pub(crate) struct Settings {
    /// The platform's address.
    pub(crate) platform: SocketAddr,
    /// The platform's bearer token; empty for none.
    pub(crate) platform_token: String,
    /// The operator.
    pub(crate) operator: Option<Operator>,
    /// How long each process is waited for.
    pub(crate) status_timeout: Duration,
}

/// Who uses the tool.
#[derive(Debug)]
pub(crate) struct Operator {
    /// The name.
    pub(crate) name: Name,
    /// The token.
    pub(crate) token: Secret,
}

/// Reads the settings of the file and the flags.
pub(crate) fn read(run: &Run) -> Result<Settings> {
    let mut reader = Reader::new(run.config.as_deref())?;
    for flag in &run.flags {
        let section = Some(flag.section);
        reader
            .ini
            .set_to(section, flag.key.to_owned(), flag.value.clone());
    }
    let settings = reader.settings();
    if !reader.faults.is_empty() {
        return Err(Error::Settings(reader.faults));
    }
    Ok(settings)
}

struct Reader {
    ini: Ini,
    faults: Vec<String>,
}

impl Reader {
    fn new(path: Option<&Path>) -> Result<Self> {
        let ini = match path {
            None => Ini::new(),
            Some(path) => {
                let file = path.display().to_string();
                let text = fs::read_to_string(path).map_err(|e| Error::File(file.clone(), e))?;
                let wrong = |e| format!("{file}: {e}; write lines as `key = value` in [sections]");
                Ini::load_from_str(&text).map_err(|e| Error::Settings(vec![wrong(e)]))?
            }
        };
        let faults = unknown(&ini);
        Ok(Reader { ini, faults })
    }

    fn fault(&mut self, section: &str, key: &str, problem: &str) {
        self.faults.push(format!("[{section}] {key}: {problem}"));
    }

    fn get(&self, section: &str, key: &str) -> Option<String> {
        let value = self.ini.get_from(Some(section), key)?.trim();
        (!value.is_empty()).then(|| value.to_owned())
    }

    fn settings(&mut self) -> Settings {
        Settings {
            platform: self.platform(),
            platform_token: self
                .secret("platform")
                .map_or(String::new(), |s| s.reveal().to_owned()),
            operator: self.operator(),
            status_timeout: self.timeout(),
        }
    }

    fn platform(&mut self) -> SocketAddr {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let Some(text) = self.get("platform", "address") else {
            let problem = "it is missing; set it, or give --platform IP:PORT";
            self.fault("platform", "address", problem);
            return nowhere;
        };
        text.parse().unwrap_or_else(|_| {
            let problem = format!("'{text}' is no address; write IP:PORT");
            self.fault("platform", "address", &problem);
            nowhere
        })
    }

    fn operator(&mut self) -> Option<Operator> {
        let token = self.secret("operator");
        match (self.get("operator", "name"), token) {
            (Some(name), Some(token)) => Some(Operator {
                name: Name::new(name),
                token,
            }),
            (None, Some(_)) => {
                self.fault(
                    "operator",
                    "name",
                    "it is missing beside token_file; set it too",
                );
                None
            }
            // Without a token the name says nothing, but the first commit needs no token.
            (_, None) => None,
        }
    }

    fn secret(&mut self, section: &str) -> Option<Secret> {
        let path = PathBuf::from(self.get(section, "token_file")?);
        match fs::read_to_string(&path) {
            Ok(text) if !text.trim().is_empty() => Some(Secret::new(&text)),
            Ok(_) => {
                let problem = format!("{} is empty; write the token into it", path.display());
                self.fault(section, "token_file", &problem);
                None
            }
            Err(error) => {
                let problem = format!("{}: {error}; name a file to read", path.display());
                self.fault(section, "token_file", &problem);
                None
            }
        }
    }

    fn timeout(&mut self) -> Duration {
        let Some(text) = self.get("status", "timeout") else {
            return STATUS_TIMEOUT;
        };
        match text.parse() {
            Ok(millis) if STATUS_TIMEOUTS.contains(&millis) => Duration::from_millis(millis),
            _ => {
                let problem = format!("'{text}' is not 50 to 60000 milliseconds; give a number");
                self.fault("status", "timeout", &problem);
                STATUS_TIMEOUT
            }
        }
    }
}

fn unknown(ini: &Ini) -> Vec<String> {
    let mut faults = Vec::new();
    for (section, properties) in ini.iter() {
        let section = section.unwrap_or_default();
        for (key, _) in properties.iter() {
            if !KEYS.contains(&(section, key)) {
                let known = KEYS.map(|(s, k)| format!("[{s}] {k}")).join(", ");
                faults.push(format!(
                    "[{section}] {key}: it is not known; use one of {known}"
                ));
            }
        }
    }
    faults
}
