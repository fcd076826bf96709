//! The order in which waiting items of several client accounts start.

use std::collections::VecDeque;

use super::rank::Rank;
use super::scheduler::Scheduler;
use super::task::TaskKey;

/// The waiting items of one account.
#[derive(Debug)]
struct Account {
    name: Option<String>,
    /// Its items that run.
    running: usize,
    /// The items by rank.
    waiting: VecDeque<(Rank, TaskKey)>,
}

/// The waiting items in the order in which they start: the account with the fewest running items goes
/// first, and its items start by rank. All accounts have the same weight. Batches without an account
/// count as one account.
#[derive(Debug)]
pub(super) struct Order {
    accounts: Vec<Account>,
    /// The index of the account whose item was returned last.
    last: usize,
}

impl Order {
    /// Returns the order of the items that wait now.
    pub(super) fn new(scheduler: &Scheduler) -> Self {
        let mut accounts: Vec<Account> = Vec::new();
        for (rank, key) in scheduler.queue.iter().copied() {
            let name = account(scheduler, key);
            let found = accounts.iter().position(|a| a.name.as_deref() == name);
            let index = found.unwrap_or_else(|| {
                accounts.push(Account {
                    name: name.map(str::to_owned),
                    running: 0,
                    waiting: VecDeque::new(),
                });
                accounts.len() - 1
            });
            accounts[index].waiting.push_back((rank, key));
        }
        if accounts.len() > 1 {
            for run in scheduler.runs.values() {
                let name = account(scheduler, run.task);
                let found = accounts.iter_mut().find(|a| a.name.as_deref() == name);
                if let Some(found) = found {
                    found.running += 1;
                }
            }
        }
        Self { accounts, last: 0 }
    }

    /// Removes and returns the item that starts next, if an engine can run it.
    pub(super) fn take_next(&mut self) -> Option<(Rank, TaskKey)> {
        let accounts = self.accounts.iter().enumerate();
        let heads = accounts.filter_map(|(index, account)| {
            let (rank, _) = account.waiting.front()?;
            Some((account.running, *rank, index))
        });
        let (_, _, index) = heads.min()?;
        self.last = index;
        self.accounts[index].waiting.pop_front()
    }

    /// Records that the item which was returned last starts.
    pub(super) fn record_start(&mut self) {
        if let Some(account) = self.accounts.get_mut(self.last) {
            account.running += 1;
        }
    }
}

fn account(scheduler: &Scheduler, key: TaskKey) -> Option<&str> {
    let batch = scheduler.tasks.get(key)?.batch;
    scheduler.batches.get(batch)?.account.as_deref()
}
