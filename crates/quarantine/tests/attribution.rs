//! Attribution of ends of servers to prompt parts.

use anvilgw_quarantine::attribution::{Evidence, Scope, attribute};
use anvilgw_quarantine::{PartKey, ServerStart, Suspect, WorkspaceKey};

const BAD: u64 = 1;
const FIRST: u64 = 2;
const OTHER: u64 = 3;
const THIRD: u64 = 4;

const CLUB: u64 = 10;
const SHOP: u64 = 11;

/// A report: server, time in milliseconds, and the parts in flight with their workspaces.
struct Report(u64, u64, &'static [(u64, u64)]);

struct Case {
    name: &'static str,
    reports: &'static [Report],
    /// Groups of quarantined parts.
    quarantined: &'static [&'static [u64]],
}

fn evidence(reports: &[Report]) -> Vec<Evidence> {
    let to_evidence = |report: &Report| Evidence {
        server: ServerStart(report.0),
        seen_at_ms: report.1,
        lost: 1,
        completed: 20,
        suspects: report
            .2
            .iter()
            .map(|(part, workspace)| Suspect {
                part: PartKey(*part),
                workspace: WorkspaceKey(*workspace),
            })
            .collect(),
    };
    reports.iter().map(to_evidence).collect()
}

/// Guards against a part that goes on to crash servers because its ends are not attributed to it,
/// and against parts that are blamed for ends which another part, or something else, explains.
#[test]
#[expect(clippy::too_many_lines, reason = "one row a case")]
fn ends_are_attributed_to_as_few_parts_as_possible() {
    let cases = [
        Case {
            name: "too few ends",
            reports: &[
                Report(1, 0, &[(BAD, CLUB)]),
                Report(2, 200, &[(BAD, CLUB)]),
                Report(3, 400, &[(BAD, CLUB)]),
                Report(4, 600, &[(BAD, CLUB)]),
            ],
            quarantined: &[],
        },
        Case {
            name: "reports of one end by several daemons count once",
            reports: &[
                Report(1, 0, &[(BAD, CLUB)]),
                Report(1, 150, &[(BAD, CLUB)]),
                Report(2, 300, &[(BAD, CLUB)]),
                Report(2, 450, &[(BAD, CLUB)]),
            ],
            quarantined: &[],
        },
        Case {
            name: "enough ends, others in flight differ",
            reports: &[
                Report(1, 0, &[(BAD, CLUB), (FIRST, CLUB)]),
                Report(2, 200, &[(BAD, CLUB), (OTHER, CLUB)]),
                Report(3, 400, &[(BAD, CLUB), (FIRST, CLUB)]),
                Report(4, 600, &[(BAD, CLUB), (THIRD, CLUB)]),
                Report(5, 800, &[(BAD, CLUB), (FIRST, CLUB)]),
            ],
            quarantined: &[&[BAD]],
        },
        Case {
            name: "servers that end at one moment count once",
            reports: &[
                Report(1, 0, &[(FIRST, CLUB)]),
                Report(2, 5, &[(FIRST, CLUB)]),
                Report(3, 10, &[(FIRST, CLUB)]),
                Report(4, 20, &[(FIRST, CLUB)]),
                Report(5, 30, &[(FIRST, CLUB)]),
                Report(6, 60, &[(FIRST, CLUB)]),
            ],
            quarantined: &[],
        },
        Case {
            name: "ends that another part explains do not count",
            reports: &[
                Report(1, 0, &[(BAD, CLUB), (FIRST, CLUB)]),
                Report(2, 200, &[(BAD, CLUB), (FIRST, CLUB)]),
                Report(3, 400, &[(BAD, CLUB), (FIRST, CLUB)]),
                Report(4, 600, &[(BAD, CLUB), (FIRST, CLUB)]),
                Report(5, 800, &[(BAD, CLUB), (FIRST, CLUB)]),
                Report(6, 1000, &[(BAD, CLUB)]),
            ],
            quarantined: &[&[BAD]],
        },
        Case {
            name: "parts that cannot be told apart are refused together only",
            reports: &[
                Report(1, 0, &[(BAD, CLUB), (FIRST, CLUB)]),
                Report(2, 200, &[(BAD, CLUB), (FIRST, CLUB)]),
                Report(3, 400, &[(BAD, CLUB), (FIRST, CLUB)]),
                Report(4, 600, &[(BAD, CLUB), (FIRST, CLUB)]),
                Report(5, 800, &[(BAD, CLUB), (FIRST, CLUB)]),
            ],
            quarantined: &[&[BAD, FIRST]],
        },
        Case {
            name: "two parts with ends of their own",
            reports: &[
                Report(1, 0, &[(BAD, CLUB)]),
                Report(2, 200, &[(BAD, CLUB)]),
                Report(3, 400, &[(BAD, CLUB)]),
                Report(4, 600, &[(BAD, CLUB)]),
                Report(5, 800, &[(BAD, CLUB)]),
                Report(6, 1000, &[(OTHER, CLUB), (BAD, CLUB)]),
                Report(7, 1200, &[(OTHER, CLUB)]),
                Report(8, 1400, &[(OTHER, CLUB)]),
                Report(9, 1600, &[(OTHER, CLUB)]),
                Report(10, 1800, &[(OTHER, CLUB)]),
                Report(11, 2000, &[(OTHER, CLUB)]),
            ],
            quarantined: &[&[BAD], &[OTHER]],
        },
    ];
    for case in cases {
        let found = attribute(&evidence(case.reports), |_| false);
        let groups: Vec<Vec<u64>> = found
            .quarantined
            .iter()
            .map(|found| found.parts.iter().map(|part| part.0).collect())
            .collect();
        let mut expected = case.quarantined.to_vec();
        expected.sort_unstable();
        let mut groups_sorted = groups.clone();
        groups_sorted.sort_unstable();
        assert_eq!(groups_sorted, expected, "{}", case.name);
    }
}

struct ScopeCase {
    name: &'static str,
    /// Workspaces whose requests with the part were in flight at each end.
    ends: &'static [&'static [u64]],
    /// `None` if the part is not quarantined.
    expected: Option<Scope>,
}

/// Guards against a caller that blocks a part for others by crashing servers with it, and against a
/// part that every workspace has to be hurt by in turn.
#[test]
fn one_workspace_alone_cannot_block_a_part_for_the_others() {
    let only = |workspace| Some(Scope::Workspaces(vec![WorkspaceKey(workspace)]));
    let cases = [
        ScopeCase {
            name: "one workspace",
            ends: &[&[CLUB], &[CLUB], &[CLUB], &[CLUB], &[CLUB], &[CLUB]],
            expected: only(CLUB),
        },
        ScopeCase {
            name: "one end of another workspace",
            ends: &[&[CLUB], &[CLUB], &[CLUB], &[CLUB], &[CLUB], &[SHOP]],
            expected: only(CLUB),
        },
        ScopeCase {
            name: "two ends of another workspace",
            ends: &[&[CLUB], &[SHOP], &[CLUB], &[SHOP], &[CLUB]],
            expected: Some(Scope::Fleet),
        },
        ScopeCase {
            name: "many workspaces",
            ends: &[&[CLUB], &[SHOP], &[12], &[13], &[14]],
            expected: Some(Scope::Fleet),
        },
        ScopeCase {
            name: "too few ends of either",
            ends: &[&[CLUB], &[CLUB], &[CLUB], &[CLUB], &[SHOP]],
            expected: None,
        },
    ];
    for case in cases {
        let reports = case
            .ends
            .iter()
            .zip(1..)
            .map(|(workspaces, server)| Evidence {
                server: ServerStart(server),
                seen_at_ms: server * 200,
                lost: 1,
                completed: 20,
                suspects: workspaces
                    .iter()
                    .map(|workspace| Suspect {
                        part: PartKey(BAD),
                        workspace: WorkspaceKey(*workspace),
                    })
                    .collect(),
            });
        let reports: Vec<Evidence> = reports.collect();
        let found = attribute(&reports, |_| false);
        let scope = found.quarantined.first().map(|found| found.scope.clone());
        assert_eq!(scope, case.expected, "{}", case.name);
    }
}

struct ChanceCase {
    name: &'static str,
    /// Requests that each reporting daemon lost at an end, and whole answers that it got before.
    lost: u32,
    completed: u32,
    /// Whether other servers end meanwhile without the part.
    is_absent_at_most_ends: bool,
    /// Number of ends from which the part is quarantined.
    needed: u64,
}

/// Guards against rare sound parts that are quarantined while servers end all the time and hardly
/// any request gets an answer, and against bad parts that end many servers at quiet daemons.
#[test]
#[expect(clippy::too_many_lines, reason = "one row a case")]
fn more_ends_are_needed_while_most_requests_lose_their_servers() {
    let cases = [
        ChanceCase {
            name: "few requests are lost",
            lost: 1,
            completed: 20,
            is_absent_at_most_ends: true,
            needed: 5,
        },
        ChanceCase {
            name: "a third is lost",
            lost: 2,
            completed: 4,
            is_absent_at_most_ends: true,
            needed: 6,
        },
        ChanceCase {
            name: "daemons without other requests",
            lost: 1,
            completed: 0,
            is_absent_at_most_ends: true,
            needed: 10,
        },
        ChanceCase {
            name: "nearly all requests are lost, all with the part",
            lost: 10,
            completed: 0,
            is_absent_at_most_ends: false,
            needed: 5,
        },
        ChanceCase {
            name: "nearly all requests are lost",
            lost: 10,
            completed: 0,
            is_absent_at_most_ends: true,
            needed: 10,
        },
    ];
    for case in cases {
        let reports = |ends: u64| -> Vec<Evidence> {
            let report = |server| Evidence {
                server: ServerStart(server),
                seen_at_ms: server * 200,
                lost: case.lost,
                completed: case.completed,
                suspects: vec![Suspect {
                    part: PartKey(BAD),
                    workspace: WorkspaceKey(CLUB),
                }],
            };
            let others = (101..=140).map(|server| Evidence {
                server: ServerStart(server),
                seen_at_ms: (server - 100) * 100,
                lost: 1,
                completed: 0,
                suspects: vec![Suspect {
                    part: PartKey(server),
                    workspace: WorkspaceKey(SHOP),
                }],
            });
            let own = (1..=ends).map(report);
            own.chain(others.filter(|_| case.is_absent_at_most_ends))
                .collect()
        };
        let is_quarantined = |ends| !attribute(&reports(ends), |_| false).quarantined.is_empty();
        let needed = (1..=20).find(|ends| is_quarantined(*ends));
        assert_eq!(needed, Some(case.needed), "{}", case.name);
    }
}
