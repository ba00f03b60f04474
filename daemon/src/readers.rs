//! Sends the readers of a record what they have not had yet.

use cicada_lib::wire::StreamFrame;

use crate::record::Conns;
use crate::record::Reader;
use crate::record::Record;
use crate::record::Stage;

/// Sends each reader the tokens that its credit allows, and the end once it has had them all. A
/// reader that has had the end is taken away.
pub(crate) fn pump(record: &mut Record, conns: &mut Conns) {
    let mut readers = std::mem::take(&mut record.readers);
    readers.retain_mut(|reader| !serve(record, reader, conns));
    record.readers = readers;
}

/// Serves one reader; true once it has had the end.
fn serve(record: &Record, reader: &mut Reader, conns: &mut Conns) -> bool {
    send_tokens(record, reader, conns);
    let Stage::Ended(outcome) = &record.stage else {
        return false;
    };
    let total = record.transcript.as_ref().map_or(0, |held| held.next());
    if reader.next < total {
        return false;
    }
    if let Some(answer) = record.answer.as_ref() {
        let frame = StreamFrame::Answer {
            status: answer.status,
            headers: answer.headers.clone(),
            body: answer.body.to_vec(),
        };
        conns.send(reader.conn, reader.stream, frame);
    }
    let frame = StreamFrame::End {
        outcome: outcome.clone(),
        preemptions: record.preemptions,
    };
    conns.send(reader.conn, reader.stream, frame);
    true
}

fn send_tokens(record: &Record, reader: &mut Reader, conns: &mut Conns) {
    let Some(transcript) = record.transcript.as_ref() else {
        return;
    };
    let texts = transcript.from(reader.next, reader.credit);
    let count = texts.len() as u32;
    if count == 0 {
        return;
    }
    let frame = StreamFrame::Tokens {
        generation: transcript.generation(),
        first: reader.next,
        texts,
    };
    conns.send(reader.conn, reader.stream, frame);
    reader.next += count;
    reader.credit -= count;
}
