//! The desk's keyed calls: each runs at most once, under a claim in the platform's store.

use cicada_lib::backend::CallAnswer;
use cicada_lib::backend::Header;
use cicada_lib::claims;
use cicada_lib::claims::Claim;
use cicada_lib::claims::ClaimTicket;
use cicada_lib::claims::RecordedResponse;
use cicada_lib::outcome::Completion;
use cicada_lib::outcome::FailureReason;
use cicada_lib::outcome::Outcome;
use cicada_lib::outcome::UnknownReason;

use crate::desk::Desk;
use crate::desk::DeskEvent;
use crate::record::CallKey;
use crate::record::RecordKey;
use crate::status::unix_millis;

const REPLAYED_HEADER: &str = "idempotent-replayed";

impl Desk {
    pub(crate) fn claim(&self, key: RecordKey, call_key: CallKey) {
        let claims = self.claims.clone();
        let service = self.settings.service.clone();
        let orders = self.orders.clone();
        tokio::spawn(async move {
            let now = unix_millis();
            let claim = claims.claim(&service, &call_key.workspace, &call_key.text, now);
            let _ = orders.send(DeskEvent::Claimed(key, claim.await)).await;
        });
    }

    pub(crate) fn claimed(&mut self, key: RecordKey, claim: claims::Result<Claim>) {
        // A record that ended meanwhile drops the ticket; the claim then counts as one that may have
        // run, which is never untrue.
        let Some(record) = self.records.at_mut(key) else {
            return;
        };
        if record.is_ended() {
            return;
        }
        match claim {
            Ok(Claim::Run(ticket)) => {
                record.ticket = Some(ticket);
                self.queue(key);
            }
            Ok(Claim::Done(answer)) if answer.whole => {
                record.answer = Some(replayed(answer));
                self.finish(key, Outcome::Completed(Completion::default()));
            }
            // It ran, and its answer was too long to keep.
            Ok(Claim::Done(_)) => self.finish(key, Outcome::Failed(FailureReason::ReplayExpired)),
            Ok(Claim::Running | Claim::ElsewhereUnsettled { .. }) => {
                self.finish(key, Outcome::Unknown(UnknownReason::ClaimUnsettled));
            }
            Err(err) => self.finish(key, Outcome::NotRun(err.not_run())),
        }
    }

    pub(crate) fn settle(&mut self, key: RecordKey, ticket: ClaimTicket, outcome: Outcome) {
        let claims = self.claims.clone();
        let orders = self.orders.clone();
        match outcome {
            // The claim is given back before the caller hears "not run": its next try must not find
            // a claim that looks as if it had run.
            Outcome::NotRun(refusal) => {
                tokio::spawn(async move {
                    if let Err(err) = claims.release(ticket, &refusal).await {
                        tracing::warn!(%err, "claims: a claim is given back later");
                    }
                    let released = DeskEvent::Released(key, Outcome::NotRun(refusal));
                    let _ = orders.send(released).await;
                });
            }
            outcome => {
                let answer = self
                    .records
                    .at(key)
                    .and_then(|record| record.answer.as_ref());
                if let Some(answer) = answer {
                    let recorded = RecordedResponse::new(answer.status, &answer.body);
                    tokio::spawn(async move {
                        if let Err(err) = claims.settle(ticket, recorded).await {
                            tracing::warn!(%err, "claims: an answer is recorded later");
                        }
                    });
                }
                self.finish(key, outcome);
            }
        }
    }
}

fn replayed(answer: RecordedResponse) -> CallAnswer {
    CallAnswer {
        status: answer.status,
        headers: vec![Header {
            name: REPLAYED_HEADER.to_string(),
            value: b"true".to_vec(),
        }],
        body: answer.body.into(),
    }
}
