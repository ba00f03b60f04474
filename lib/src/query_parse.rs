//! Reads the operators' language.
//!
//! Statements end at a line's end or at `;`. Words are keywords only where the grammar asks for one,
//! so that any name can be used anywhere; names with other characters stand in quotes.

use std::ops::Range;

use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::delimited;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::stream::LocatingSlice;
use winnow::token::one_of;
use winnow::token::take_till;
use winnow::token::take_while;

use crate::config_check::is_name_char;
use crate::query::Alter;
use crate::query::Assignment;
use crate::query::Explain;
use crate::query::Expr;
use crate::query::ObjectKind;
use crate::query::Op;
use crate::query::Order;
use crate::query::Placed;
use crate::query::QueryError;
use crate::query::Result;
use crate::query::Show;
use crate::query::Statement;
use crate::query::TableKind;
use crate::query::Value;
use crate::query::Word;
use crate::query::suggest;

// Nested conditions are read by recursion: without a bound a text of brackets overflows the stack.
const MAX_DEPTH: usize = 64;
// Conditions joined by `and` and `or` make a tree as deep as they are many.
const MAX_TERMS: usize = 1_000;

const COMMANDS: [&str; 11] = [
    "show", "create", "set", "delete", "drain", "undrain", "begin", "commit", "explain", "collect",
    "help",
];

type Input<'a> = LocatingSlice<&'a str>;
type Lexed<T> = winnow::Result<T>;

#[derive(Clone, Debug, Eq, PartialEq)]
enum Kind {
    Word(String),
    Quoted(String),
    Symbol(&'static str),
    End,
}

#[derive(Clone, Debug)]
struct Token {
    kind: Kind,
    span: Range<usize>,
}

/// Reads all statements of a text.
pub fn parse(source: &str) -> Result<Vec<Statement>> {
    let mut parser = Reader {
        tokens: lex(source)?,
        next: 0,
        depth: 0,
        terms: 0,
    };
    let mut statements = Vec::new();
    loop {
        while parser.take_end() {}
        if parser.is_done() {
            return Ok(statements);
        }
        statements.push(parser.statement()?);
        if !parser.take_end() && !parser.is_done() {
            let hint = "end each statement by ';' or a new line";
            return Err(parser.expected("the end of the statement", hint));
        }
    }
}

fn lex(source: &str) -> Result<Vec<Token>> {
    let mut input = LocatingSlice::new(source);
    let mut tokens = Vec::new();
    loop {
        let _: Lexed<()> = blank.parse_next(&mut input);
        if input.is_empty() {
            let span = source.len()..source.len();
            tokens.push(Token {
                kind: Kind::End,
                span,
            });
            return Ok(tokens);
        }
        let at = source.len() - input.len();
        match token.with_span().parse_next(&mut input) {
            Ok((kind, span)) => tokens.push(Token { kind, span }),
            Err(_) => return Err(not_a_token(source, at)),
        }
    }
}

fn not_a_token(source: &str, at: usize) -> QueryError {
    let first = source[at..].chars().next().unwrap_or(' ');
    if first == '\'' || first == '"' {
        let end = source[at..].find('\n').map_or(source.len(), |i| at + i);
        let hint = format!("close it by {first}; write {first}{first} for a quote in it");
        return QueryError::new(at..end, "the quoted text has no end", hint);
    }
    let message = format!(
        "the character '{}' has no meaning here",
        first.escape_default()
    );
    let span = at..at + first.len_utf8();
    QueryError::new(span, message, "put names with such characters in quotes")
}

fn blank(input: &mut Input<'_>) -> Lexed<()> {
    let space = take_while(1.., |c: char| c.is_whitespace() && c != '\n').void();
    let comment = ("#", take_till(0.., '\n')).void();
    repeat(0.., alt((space, comment))).parse_next(input)
}

fn token(input: &mut Input<'_>) -> Lexed<Kind> {
    let word = take_while(1.., is_name_char).map(|s: &str| Kind::Word(s.to_owned()));
    alt((symbol, quoted('\''), quoted('"'), word)).parse_next(input)
}

fn symbol(input: &mut Input<'_>) -> Lexed<Kind> {
    let comparison = alt(("!=", "<=", ">=", "=", "<", ">"));
    let other = alt(("(", ")", ",", ";", "\n"));
    let text: &str = alt((comparison, other)).parse_next(input)?;
    Ok(Kind::Symbol(
        STATIC
            .iter()
            .find(|s| **s == text)
            .copied()
            .unwrap_or_default(),
    ))
}

const STATIC: [&str; 11] = ["!=", "<=", ">=", "=", "<", ">", "(", ")", ",", ";", "\n"];

fn quoted<'a>(quote: char) -> impl FnMut(&mut Input<'a>) -> Lexed<Kind> {
    move |input| {
        let plain = take_while(1.., move |c| c != quote && c != '\n').map(str::to_owned);
        let doubled = preceded(quote, one_of(quote)).map(String::from);
        let parts = repeat(0.., alt((plain, doubled)));
        let parts = parts.fold(String::new, |text, part: String| text + &part);
        delimited(quote, parts, quote)
            .map(Kind::Quoted)
            .parse_next(input)
    }
}

struct Reader {
    // The last one is `End`.
    tokens: Vec<Token>,
    next: usize,
    depth: usize,
    terms: usize,
}

impl Reader {
    fn peek(&self) -> &Token {
        &self.tokens[self.next.min(self.tokens.len() - 1)]
    }

    fn is_done(&self) -> bool {
        self.peek().kind == Kind::End
    }

    fn take(&mut self) -> Token {
        let token = self.peek().clone();
        self.next += 1;
        token
    }

    fn take_symbol(&mut self, symbol: &str) -> bool {
        let found = matches!(&self.peek().kind, Kind::Symbol(s) if *s == symbol);
        self.next += usize::from(found);
        found
    }

    fn take_end(&mut self) -> bool {
        self.take_symbol(";") || self.take_symbol("\n")
    }

    fn at_word(&self, word: &str) -> bool {
        matches!(&self.peek().kind, Kind::Word(w) if w.eq_ignore_ascii_case(word))
    }

    fn take_word(&mut self, word: &str) -> bool {
        let found = self.at_word(word);
        self.next += usize::from(found);
        found
    }

    fn expected(&self, what: &str, hint: impl Into<String>) -> QueryError {
        let found = match &self.peek().kind {
            Kind::Word(text) | Kind::Quoted(text) => format!("'{text}'"),
            Kind::Symbol("\n") | Kind::End => "the end".to_owned(),
            Kind::Symbol(symbol) => format!("'{symbol}'"),
        };
        let message = format!("expected {what}, found {found}");
        QueryError::new(self.peek().span.clone(), message, hint)
    }

    fn expect_word(&mut self, word: &str, hint: &str) -> Result<()> {
        if self.take_word(word) {
            return Ok(());
        }
        Err(self.expected(&format!("'{word}'"), hint))
    }

    // A word without quotes, as keywords and fields are written.
    fn plain(&mut self, what: &str, known: &[&str]) -> Result<Word> {
        let Kind::Word(text) = &self.peek().kind else {
            let hint = match known {
                [] => "write its name without quotes".to_owned(),
                known => suggest("", known),
            };
            return Err(self.expected(what, hint));
        };
        let text = text.clone();
        let span = self.take().span;
        Ok(Word { text, span })
    }

    fn choice<T: Copy>(&mut self, what: &str, all: &[(&'static str, T)]) -> Result<T> {
        let names: Vec<&str> = all.iter().map(|(name, _)| *name).collect();
        let word = self.plain(what, &names)?;
        let found = all
            .iter()
            .find(|(name, _)| name.eq_ignore_ascii_case(&word.text));
        let unknown = || {
            let message = format!("'{}' is not {what}", word.text);
            word.error(message, suggest(&word.text, &names))
        };
        found.map(|(_, value)| *value).ok_or_else(unknown)
    }

    fn name(&mut self, what: &str) -> Result<Word> {
        match self.peek().kind.clone() {
            Kind::Word(text) | Kind::Quoted(text) => {
                let span = self.take().span;
                Ok(Word { text, span })
            }
            _ => Err(self.expected(what, "write a name, in quotes where it has blanks")),
        }
    }

    fn value(&mut self) -> Result<Placed> {
        let quoted = matches!(self.peek().kind, Kind::Quoted(_));
        let word = self.name("a value")?;
        let digits = word.text.bytes().all(|b| b.is_ascii_digit());
        let value = match word.text.parse() {
            Ok(number) if !quoted => Value::Number(number),
            Err(_) if !quoted && digits => {
                return Err(word.error("the number is too large", "give a smaller one"));
            }
            _ => Value::Text(word.text),
        };
        let span = word.span;
        Ok(Placed { value, span })
    }

    fn list(&mut self) -> Result<Vec<Placed>> {
        let mut values = Vec::new();
        if self.take_symbol(")") {
            return Ok(values);
        }
        loop {
            values.push(self.value()?);
            if self.take_symbol(")") {
                return Ok(values);
            }
            if !self.take_symbol(",") {
                return Err(self.expected("',' or ')'", "write lists as in (a, b, c)"));
            }
        }
    }

    fn statement(&mut self) -> Result<Statement> {
        let word = self.plain("a command", &COMMANDS)?;
        match word.text.to_ascii_lowercase().as_str() {
            "show" => self.show().map(Statement::Show),
            "create" => self.alter().map(Statement::Create),
            "set" => self.alter().map(Statement::Set),
            "delete" => self.alter().map(Statement::Delete),
            "drain" => self.backend_server().map(Statement::Drain),
            "undrain" => self.backend_server().map(Statement::Undrain),
            "begin" => Ok(Statement::Begin),
            "commit" => Ok(Statement::Commit),
            "collect" => Ok(Statement::Collect),
            "explain" => self.explain().map(Statement::Explain),
            "help" => self.help(),
            _ => {
                let message = format!("'{}' is not a command", word.text);
                Err(word.error(message, suggest(&word.text, &COMMANDS)))
            }
        }
    }

    fn show(&mut self) -> Result<Show> {
        self.terms = 0;
        let table = self.choice("a table", &TableKind::ALL)?;
        let filter = self.take_word("where").then(|| self.either()).transpose()?;
        let order = self.take_word("order").then(|| self.order()).transpose()?;
        let limit = self.take_word("limit").then(|| self.limit()).transpose()?;
        Ok(Show {
            table,
            filter,
            order,
            limit,
        })
    }

    fn order(&mut self) -> Result<Order> {
        self.expect_word(
            "by",
            "write 'order by FIELD', with 'desc' for the largest first",
        )?;
        let field = self.plain("a field", &[])?;
        let descending = self.take_word("desc");
        if !descending {
            self.take_word("asc");
        }
        Ok(Order { field, descending })
    }

    fn limit(&mut self) -> Result<u64> {
        let placed = self.value()?;
        match placed.value {
            Value::Number(number) => Ok(number),
            Value::Text(_) => Err(placed.error("the limit is not a number", "write 'limit 20'")),
        }
    }

    fn either(&mut self) -> Result<Expr> {
        let mut expr = self.both()?;
        while self.take_word("or") {
            expr = Expr::Or(Box::new(expr), Box::new(self.both()?));
        }
        Ok(expr)
    }

    fn both(&mut self) -> Result<Expr> {
        let mut expr = self.single()?;
        while self.take_word("and") {
            expr = Expr::And(Box::new(expr), Box::new(self.single()?));
        }
        Ok(expr)
    }

    fn single(&mut self) -> Result<Expr> {
        self.depth += 1;
        self.terms += 1;
        if self.depth > MAX_DEPTH || self.terms > MAX_TERMS {
            return Err(self.expected(
                "a shorter condition",
                "use fewer terms, or `in` with a list",
            ));
        }
        let expr = self.nested();
        self.depth -= 1;
        expr
    }

    fn nested(&mut self) -> Result<Expr> {
        if self.take_word("not") {
            return Ok(Expr::Not(Box::new(self.single()?)));
        }
        if self.take_symbol("(") {
            let expr = self.either()?;
            if !self.take_symbol(")") {
                return Err(self.expected("')'", "close the bracket"));
            }
            return Ok(expr);
        }
        let field = self.plain("a field", &[])?;
        if self.take_word("in") {
            if !self.take_symbol("(") {
                return Err(self.expected("'('", "write 'in (a, b, c)'"));
            }
            return Ok(Expr::In(field, self.list()?));
        }
        let op = self.op()?;
        Ok(Expr::Compare(field, op, self.value()?))
    }

    fn op(&mut self) -> Result<Op> {
        let found = Op::ALL.iter().find(|(symbol, _)| self.take_symbol(symbol));
        let unknown = || self.expected("a comparison", "use one of: = != < <= > >= in");
        found.map(|(_, op)| *op).ok_or_else(unknown)
    }

    fn alter(&mut self) -> Result<Alter> {
        let kind = self.choice("a kind of object", &ObjectKind::ALL)?;
        let name = self.name(&format!("the name of the {kind}"))?;
        let mut fields = Vec::new();
        while !self.is_done() && !self.at_end() {
            let comma = self.take_symbol(",");
            if comma && fields.is_empty() {
                let hint = "write a comma between two fields only";
                return Err(self.expected("a field", hint));
            }
            fields.push(self.assignment()?);
        }
        Ok(Alter { kind, name, fields })
    }

    fn at_end(&self) -> bool {
        matches!(self.peek().kind, Kind::Symbol(";" | "\n"))
    }

    fn assignment(&mut self) -> Result<Assignment> {
        let field = self.plain("a field", &[])?;
        self.take_symbol("=");
        let values = if self.take_symbol("(") {
            self.list()?
        } else {
            vec![self.value()?]
        };
        Ok(Assignment { field, values })
    }

    fn backend_server(&mut self) -> Result<Word> {
        let hint = "write 'drain backend-server HOST' or 'undrain backend-server HOST'";
        self.expect_word("backend-server", hint)?;
        self.name("the name of a backend server's host")
    }

    fn explain(&mut self) -> Result<Explain> {
        let hint = "write 'explain workspace W service S', and 'model M' where you like";
        self.expect_word("workspace", hint)?;
        let workspace = self.name("the name of a workspace")?;
        self.expect_word("service", hint)?;
        let service = self.name("the name of a service")?;
        let has_model = self.take_word("model");
        let model = has_model
            .then(|| self.name("the name of a model"))
            .transpose()?;
        Ok(Explain {
            workspace,
            service,
            model,
        })
    }

    fn help(&mut self) -> Result<Statement> {
        let mut words = Vec::new();
        while matches!(self.peek().kind, Kind::Word(_)) {
            words.push(self.plain("a word", &COMMANDS)?);
        }
        Ok(Statement::Help(words))
    }
}
