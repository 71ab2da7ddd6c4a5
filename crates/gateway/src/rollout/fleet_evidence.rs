//! Sum of the evidence of all daemons, kept apart by the period in which it arrived.

use super::evidence::{Evidence, EvidenceRow, RowKey, Side};
use indexmap::IndexMap;

/// Answers of one side, and failures among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Answers, failures included.
    pub answers: u64,
    /// Failures.
    pub failures: u64,
}

/// Evidence of all daemons for one order.
///
/// Daemons report cumulative rows. What a report adds to the previous one of its sender is counted
/// in the current period, so that answers of both versions are compared only within a period.
#[derive(Clone, Debug, Default)]
pub struct FleetEvidence {
    /// Newest rows of each daemon, by the identifier of its start.
    known: IndexMap<u64, IndexMap<RowKey, EvidenceRow>>,
    periods: IndexMap<u32, Evidence>,
}

impl FleetEvidence {
    /// Adds a report's rows to a period. `sender` is the start identifier of the daemon. A row that
    /// a newer report has overtaken is ignored.
    pub fn on_rows(&mut self, sender: u64, rows: Vec<EvidenceRow>, period: u32) {
        let known = self.known.entry(sender).or_default();
        let sums = self.periods.entry(period).or_default();
        for row in rows {
            match known.get(&row.key) {
                Some(earlier) if earlier.answers >= row.answers => continue,
                Some(earlier) => sums.add(&row.since(earlier)),
                None => sums.add(&row),
            }
            known.insert(row.key, row);
        }
    }

    /// Returns the evidence of each period, oldest first.
    pub fn periods(&self) -> impl DoubleEndedIterator<Item = &Evidence> {
        self.periods.values()
    }

    /// Returns the answers of a side.
    #[must_use]
    pub fn counts(&self, side: Side) -> AnswerCounts {
        let rows = self.periods().flat_map(Evidence::rows);
        let rows = rows.filter(|row| row.key.side == side);
        rows.fold(AnswerCounts::default(), |sum, row| AnswerCounts {
            answers: sum.answers + u64::from(row.answers),
            failures: sum.failures + u64::from(row.failures),
        })
    }
}
