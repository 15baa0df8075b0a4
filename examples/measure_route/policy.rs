//! Ways to choose an engine.

use std::time::Duration;

use celerylever::clock::Instant;
use celerylever::document::{Document, Model, Snapshot, Upstream, UpstreamKind};
use celerylever::route::{
    Choice, ChooseError, Chooser, ChooserSettings, Placement, Prefix, RoutingRequest,
};

use crate::engine::{Engine, cost};
use crate::workload::Workload;

pub(crate) const MODEL: &str = "m";
pub(crate) const WEIGHTS: &str = "v1";
pub(crate) const ZONE_DISTANCE: Duration = Duration::from_micros(1_500);
/// Pieces hashed by the plain consistent hash; they reach just into a sheet.
const HASHED_PIECES: usize = 6;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    RoundRobin,
    LeastLoaded,
    ConsistentHash,
    Celerylever,
    Oracle,
}

impl Policy {
    pub(crate) const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::ConsistentHash,
        Self::Celerylever,
        Self::Oracle,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastLoaded => "least loaded",
            Self::ConsistentHash => "consistent hash",
            Self::Celerylever => "celerylever",
            Self::Oracle => "oracle",
        }
    }
}

/// What one VM decides with.
pub(crate) struct Vm {
    pub(crate) chooser: Chooser,
    zone: usize,
    next: usize,
    in_flight: Vec<usize>,
    placement: Placement,
}

impl Vm {
    pub(crate) fn new(number: usize, workload: &Workload, seed: u64) -> Self {
        let zone = number % workload.zones;
        let mut chooser = Chooser::new(ChooserSettings {
            availability_zone: zone.to_string(),
            seed: seed * 1_000 + number as u64,
            ..ChooserSettings::default()
        });
        chooser.configure(&snapshot(workload), Duration::ZERO);
        let names: Vec<String> = (0..workload.engines).map(name).collect();
        Self {
            chooser,
            zone,
            next: number,
            in_flight: vec![0; workload.engines],
            placement: Placement::new(names.iter().map(String::as_str)),
        }
    }

    pub(crate) fn distance(&self, engine: usize, workload: &Workload) -> Duration {
        match engine % workload.zones == self.zone {
            true => Duration::ZERO,
            false => ZONE_DISTANCE,
        }
    }

    /// Chooses an engine; only celerylever's choice can hold a request back.
    pub(crate) fn choose(
        &mut self,
        policy: Policy,
        ask: &mut RoutingRequest,
        engines: &[Engine],
        workload: &Workload,
        now: Instant,
    ) -> Result<(usize, Option<Choice>), ChooseError> {
        let engine = match policy {
            Policy::RoundRobin => {
                self.next += 1;
                self.next % engines.len()
            }
            Policy::LeastLoaded => self.least_loaded(),
            Policy::ConsistentHash => self.hashed(&ask.prefix),
            Policy::Oracle => self.best(&ask.prefix, engines, workload, now),
            Policy::Celerylever => {
                let choice = self.chooser.choose(ask, now)?;
                return Ok((usize::from(choice.engine), Some(choice)));
            }
        };
        self.in_flight[engine] += 1;
        Ok((engine, None))
    }

    pub(crate) fn finished(&mut self, engine: usize, choice: Option<&Choice>) {
        match choice {
            Some(choice) => self.chooser.record_finish(choice.engine),
            None => self.in_flight[engine] -= 1,
        }
    }

    fn least_loaded(&mut self) -> usize {
        let count = self.in_flight.len();
        self.next += 1;
        let order = (0..count).map(|index| (index + self.next) % count);
        order
            .min_by_key(|engine| self.in_flight[*engine])
            .unwrap_or(0)
    }

    fn hashed(&self, prefix: &Prefix) -> usize {
        let level = prefix.pieces().min(HASHED_PIECES);
        self.placement
            .engine(prefix.hashes()[level], 0)
            .unwrap_or(0)
    }

    fn best(
        &self,
        prefix: &Prefix,
        engines: &[Engine],
        workload: &Workload,
        now: Instant,
    ) -> usize {
        let score = |number: &usize| {
            let engine = &engines[*number];
            let own = cost(engine.missed_tokens(prefix));
            own + engine.backlog(now) + self.distance(*number, workload)
        };
        (0..engines.len()).min_by_key(score).unwrap_or(0)
    }
}

pub(crate) fn name(engine: usize) -> String {
    format!("engine-{engine:04}")
}

fn snapshot(workload: &Workload) -> Snapshot {
    let mut document = Document::default();
    let model = Model {
        weight_version: WEIGHTS.to_owned(),
        ..Model::default()
    };
    document.models.insert(MODEL.to_owned(), model);
    for engine in 0..workload.engines {
        let upstream = Upstream {
            availability_zone: (engine % workload.zones).to_string(),
            kind: UpstreamKind::Engine,
            models: vec![MODEL.to_owned()],
            ..Upstream::default()
        };
        document.upstreams.insert(name(engine), upstream);
    }
    Snapshot::compile(1, document)
}
