//! The page on the protocols shows what the stand-ins and adapters really speak.

use std::fs;

use cicada_lib::backend::EngineLoad;
use cicada_lib::backend::GenerationSpec;
use cicada_lib::engine_http::OrderRequest;
use cicada_lib::engine_http::StreamLine;
use eyre::OptionExt;
use eyre::Result;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use testutils::proxy::LinkFaults;

fn page() -> Result<String> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/standins.md");
    Ok(fs::read_to_string(path)?)
}

/// Checks that a sample is read, and written again with nothing missing.
fn check<T: DeserializeOwned + Serialize>(sample: &str) -> Result<()> {
    let shown: Value = serde_json::from_str(sample)?;
    let written = serde_json::to_value(serde_json::from_str::<T>(sample)?)?;
    assert_eq!(written, shown);
    Ok(())
}

fn blocks(page: &str) -> Vec<&str> {
    let parts = page.split("```json\n").skip(1);
    parts.filter_map(|part| part.split("```").next()).collect()
}

/// The sample in backticks after a mark, on one or more lines.
fn sample(page: &str, mark: &str) -> Result<String> {
    let (_, rest) = page.split_once(mark).ok_or_eyre("no such mark")?;
    let sample = rest.split('`').nth(1).ok_or_eyre("no sample")?;
    Ok(sample.replace('\n', " "))
}

#[test]
fn samples_of_the_engine_are_true() -> Result<()> {
    let page = page()?;
    for line in blocks(&page)[0].lines() {
        check::<StreamLine>(line)?;
    }
    check::<GenerationSpec>(&sample(&page, "**Start.**")?)?;
    check::<EngineLoad>(&sample(&page, "**Load.**")?)?;
    check::<OrderRequest>(&sample(&page, "**Orders.**")?)
}

#[test]
fn sample_of_the_proxy_is_true() -> Result<()> {
    let page = page()?;
    let faults: LinkFaults = serde_json::from_str(blocks(&page)[1])?;
    assert_eq!((faults.forward.delay, faults.forward.jitter), (30, 5));
    assert!(faults.backward.stalled && !faults.forward.stalled);
    Ok(())
}
