//! Exchange of evidence between simulated gateways and their control host.

use core::time::Duration;

use peargap_core::quarantine;
use peargap_core::time::Instant;

/// Time in which news pass between a gateway and a control host.
pub(super) const NEWS: Duration = Duration::from_millis(25);

/// Something to deliver, [`NEWS`] after it is returned.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Message {
    /// From the control host to all gateways.
    Spread,
    /// From a gateway to the control host.
    Tell(usize),
}

#[derive(Clone, Debug, Default)]
struct Gateway {
    /// Whether it has restarted and not heard from the control host since.
    is_starting: bool,
    is_telling: bool,
    /// Change of the control host that it knows.
    known: u64,
    /// Successes that the control host does not know of.
    successes: Vec<quarantine::Success>,
    table: quarantine::Table,
    /// Change of its own that the control host knows.
    told: u64,
}

/// The tables of all gateways and of the control host.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    control: quarantine::Table,
    gateways: Vec<Gateway>,
    is_spreading: bool,
}

impl Exchange {
    pub(super) fn new(gateways: usize) -> Exchange {
        Exchange {
            control: quarantine::Table::default(),
            gateways: vec![Gateway::default(); gateways],
            is_spreading: false,
        }
    }

    pub(super) fn table(&mut self, gateway: usize) -> &mut quarantine::Table {
        &mut self.gateways[gateway].table
    }

    /// Records at a gateway that an upstream ended while it ran a request with these subjects.
    pub(super) fn record_loss(
        &mut self,
        now: Instant,
        gateway: usize,
        subjects: &[quarantine::Subject],
        loss: quarantine::Loss,
    ) -> Option<Message> {
        self.table(gateway).record_loss(now, subjects, loss);
        self.schedule_tell(gateway)
    }

    /// Records at a gateway that a request with these subjects was answered.
    pub(super) fn record_success(
        &mut self,
        now: Instant,
        gateway: usize,
        subjects: &[quarantine::Subject],
    ) -> Option<Message> {
        let (successes, _changes) = self.table(gateway).record_success(now, subjects);
        if successes.is_empty() {
            return None;
        }
        self.gateways[gateway].successes.extend(successes);
        self.schedule_tell(gateway)
    }

    /// Returns whether a gateway serves: one that starts has no routes before it has the evidence.
    pub(super) fn is_serving(&self, gateway: usize) -> bool {
        !self.gateways[gateway].is_starting
    }

    /// Restarts a gateway, which then knows nothing until it hears from the control host.
    pub(super) fn restart(&mut self, gateway: usize) -> Option<Message> {
        self.gateways[gateway] = Gateway {
            is_starting: true,
            ..Gateway::default()
        };
        self.schedule_spread()
    }

    /// Delivers a message; returns the next one, if it causes one.
    pub(super) fn deliver(&mut self, now: Instant, message: Message) -> Option<Message> {
        match message {
            Message::Spread => {
                self.spread(now);
                None
            }
            Message::Tell(gateway) => {
                self.tell(now, gateway);
                self.schedule_spread()
            }
        }
    }

    fn schedule_tell(&mut self, gateway: usize) -> Option<Message> {
        let was_telling = core::mem::replace(&mut self.gateways[gateway].is_telling, true);
        (!was_telling).then_some(Message::Tell(gateway))
    }

    fn schedule_spread(&mut self) -> Option<Message> {
        let was_spreading = core::mem::replace(&mut self.is_spreading, true);
        (!was_spreading).then_some(Message::Spread)
    }

    fn tell(&mut self, now: Instant, index: usize) {
        let gateway = &mut self.gateways[index];
        gateway.is_telling = false;
        let told = gateway.table.list_own_after(gateway.told);
        let told: Vec<_> = told.cloned().collect();
        gateway.told = gateway.table.last_change();
        let successes = core::mem::take(&mut gateway.successes);
        self.control.merge(now, &told, &successes);
    }

    fn spread(&mut self, now: Instant) {
        self.is_spreading = false;
        for gateway in &mut self.gateways {
            gateway.is_starting = false;
            let told: Vec<_> = self.control.list_after(gateway.known).cloned().collect();
            gateway.known = self.control.last_change();
            gateway.table.merge(now, &told, &[]);
        }
    }
}
