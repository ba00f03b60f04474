//! Brings up a whole deployment on the loopback and sends a real streamed generation through it,
//! printing what the caller sees.

use eyre::Result;
use eyre::ensure;
use testutils::deployment::Deployment;
use testutils::deployment::DeploymentSettings;

const PROMPT: &str = "Draft the whole programme of a christening: hymns, readings, vows. len=400";
const ENGINES: usize = 6;
const SERVICES: usize = 2;
const ENTRIES: usize = 2;

#[tokio::main]
async fn main() -> Result<()> {
    println!("Starting a platform, {ENGINES} engines, {SERVICES} plain services, their agents,");
    println!("and {ENTRIES} entries in three regions ...");
    let settings = DeploymentSettings::new(ENGINES, SERVICES, ENTRIES);
    let deployment = Deployment::start(settings).await?;
    for entry in &deployment.entries {
        println!("{} serves callers at http://{}", entry.name, entry.listen);
    }

    println!("\nThe caller asks for a streamed completion:\n  {PROMPT}\n");
    let caller = deployment.caller(0);
    let heard = caller.stream(PROMPT).await?.hear().await;
    println!("{}\n", heard.text);
    let tokens = heard.check(PROMPT)?;
    ensure!(heard.done, "the stream did not come to its end: {heard:?}");
    println!("{tokens} tokens, each once, in order, from one generation.");
    println!("Longest time without progress: {:?}.", heard.longest);

    println!("\nThe caller books a date, twice with one Idempotency-Key, at two entries:");
    let headers = [("idempotency-key", "booking-1")];
    for place in 0..ENTRIES {
        let caller = deployment.caller(place);
        let path = "/services/booking/book";
        let answer = caller.send("POST", path, &headers, "{\"date\": \"2027-05-02\"}");
        let answer = answer.await?;
        println!(
            "  {} {}",
            answer.status(),
            String::from_utf8_lossy(answer.body())
        );
    }
    let effects: usize = deployment
        .services
        .iter()
        .map(|host| host.service.count("booking-1"))
        .sum();
    println!("The plain services recorded {effects} booking(s).");
    Ok(())
}
