//! Audits the customers' token accounts in the metrics of the daemons.

use std::{
    collections::BTreeMap,
    fmt::Write, //
};

/// Accounts whose sum must be the account `limit`.
const LIMIT_PARTS: [&str; 4] = ["billed", "held", "orphaned", "free"];

/// Tokens of one customer by account name.
pub type Accounts = BTreeMap<String, i64>;

/// Parses the accounts of each customer from a daemon's metrics in the Prometheus text format.
///
/// # Examples
///
/// ```
/// use cuminloom_fleetctl::audit::parse_accounts;
/// let found = parse_accounts("cuminloom_tokens{account=\"limit\",customer=\"ann\"} 100\n");
/// assert_eq!(found["ann"]["limit"], 100);
/// ```
pub fn parse_accounts(metrics: &str) -> BTreeMap<String, Accounts> {
    let mut all: BTreeMap<String, Accounts> = BTreeMap::new();
    for line in metrics.lines() {
        let Some(rest) = line.strip_prefix("cuminloom_tokens{account=\"") else {
            continue;
        };
        let Some((account, rest)) = rest.split_once("\",customer=\"") else {
            continue;
        };
        let Some((customer, tokens)) = rest.rsplit_once("\"} ") else {
            continue;
        };
        if let Ok(tokens) = tokens.trim().parse() {
            let accounts = all.entry(customer.to_owned()).or_default();
            accounts.insert(account.to_owned(), tokens);
        }
    }
    all
}

/// Whether the billed, held, orphaned and free tokens of a customer add up to its limit.
pub fn is_balanced(accounts: &Accounts) -> bool {
    let sum: i64 = LIMIT_PARTS
        .iter()
        .filter_map(|part| accounts.get(*part))
        .sum();
    accounts.get("limit") == Some(&sum)
}

/// Formats one line for each customer with its accounts in the metrics of `daemon`, and returns whether
/// all accounts add up.
///
/// # Examples
///
/// ```
/// use cuminloom_fleetctl::audit::{parse_accounts, report};
/// let line = |account: &str, tokens: i64| {
///     format!("cuminloom_tokens{{account=\"{account}\",customer=\"ann\"}} {tokens}\n")
/// };
/// let text = line("limit", 100) + &line("billed", 60) + &line("held", 30) + &line("free", 10);
/// let (report, balanced) = report("vm-1", &parse_accounts(&text));
/// assert!(balanced, "{report}");
/// ```
pub fn report(daemon: &str, all: &BTreeMap<String, Accounts>) -> (String, bool) {
    let mut out = String::new();
    let mut balanced = true;
    for (customer, accounts) in all {
        let _ = write!(out, "{daemon} {customer}");
        for account in ["limit"].iter().chain(&LIMIT_PARTS) {
            let tokens = accounts.get(*account).copied().unwrap_or(0);
            let _ = write!(out, " {account}={tokens}");
        }
        if !is_balanced(accounts) {
            balanced = false;
            out.push_str("  DOES NOT ADD UP");
        }
        out.push('\n');
    }
    (out, balanced)
}
