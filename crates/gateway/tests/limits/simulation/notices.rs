//! Exchange of servers' statements between the daemons of a simulation.

use super::Simulation;
use super::deployment::index_of;
use super::event::Event;
use anvilgw_gateway::notice_reports::{
    NOTICE_PERIOD, NoticeReport, QUERY_TIME, apply_report, queried_daemons, reports_of_all,
};

impl Simulation {
    pub(super) fn on_notice_period(&mut self, index: usize) {
        self.schedule(self.now + NOTICE_PERIOD, Event::NoticePeriod(index));
        if !self.is_active(index) {
            return;
        }
        if self.now < self.daemons[index].started_at + QUERY_TIME {
            self.query_notices(index);
        }
        let daemon = &mut self.daemons[index];
        let addressed = daemon
            .reporter
            .next_reports(&daemon.servers, &daemon.role, self.now);
        for reports in addressed {
            for report in &reports.reports {
                for recipient in &reports.recipients {
                    let to = index_of(*recipient);
                    if self.is_delivered(index, to) {
                        self.after(0..4, Event::Notices(to, report.clone()));
                    }
                }
            }
        }
    }

    /// A daemon that has just started asks others for the statements that they know.
    pub(super) fn query_notices(&mut self, index: usize) {
        let role = self.daemons[index].role.clone();
        for queried in queried_daemons(&role) {
            let to = index_of(*queried);
            if self.is_delivered(index, to) {
                self.after(0..4, Event::NoticeQuery(index, to));
            }
        }
    }

    pub(super) fn on_notice_query(&mut self, from: usize, to: usize) {
        if !self.is_active(to) {
            return;
        }
        for report in reports_of_all(&self.daemons[to].servers, self.now) {
            if self.is_delivered(to, from) {
                self.after(0..4, Event::Notices(from, report));
            }
        }
    }

    pub(super) fn on_notices(&mut self, index: usize, report: &NoticeReport) {
        if self.is_active(index) {
            let daemon = &mut self.daemons[index];
            apply_report(&mut daemon.servers, &daemon.role, report, self.now);
        }
    }
}
