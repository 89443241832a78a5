"""Pairwise slowdown of services by batch job classes, learned from delayed p99 reports.

The logarithm of a service's p99 on a worker is modelled as an intercept, which follows the load of
the service, plus a slope for each job class times the exposure to it (running tasks of the class,
weighted by their processor share).
"""

import collections
import math
from collections.abc import Mapping
from typing import NamedTuple

from crocusrudder.core import ids
from crocusrudder.placement import filters

REPORT_AGE_SECONDS = 8.0
"""Typical time between the measurement of a p99 and the arrival of its report."""
MEASUREMENT_WINDOW_SECONDS = 10.0
"""Length of the window over which an agent measures a p99."""
HISTORY_SECONDS = 60.0
"""How long past placements are retained; older measurements are not attributed to them."""

NOISE_DEVIATION = 0.25
"""Standard deviation of the logarithm of a reported p99."""
INTERCEPT_DEVIATION = 1.0
INTERCEPT_DRIFT = 1e-4
"""Variance per second; the intercept can follow a load that doubles within a few minutes."""
PAIR_MEAN = 0.05
PAIR_DEVIATION = 0.3
"""Prior of a pair; most pairs are harmless, a few multiply the p99 by 1.5 to 2.5."""
PAIR_DRIFT = 1e-5
"""Variance per second of a pair's slope."""
CLASS_PRIOR_REPORTS = 20
"""Reports on other services with which their mean has half the weight in a new pair's prior."""
TESTED_REPORTS = 2
"""Reports with an exposure of at least ``tested_exposure`` after which a pair counts as tested."""
TESTED_EXPOSURE = 0.5
STABLE_REPORTS = 200
"""Reports of a service after which its cached estimates are refreshed less often."""
REFRESH_REPORTS = 8
"""Reports between two refreshes from then on."""
MAX_CLASSES = 32
"""Number of coefficients per service from which further classes share one slope.

Limits the time of an update to about 0.1 ms.
"""
OTHER_CLASS = "(other)"
EXCESS_SMOOTHING = 0.4
"""Weight of the newest report in the smoothed excess of a service on a worker."""


class ModelParameters(NamedTuple):
    """Timing of the latency measurements and the prior of a pair."""

    report_age_seconds: float = REPORT_AGE_SECONDS
    window_seconds: float = MEASUREMENT_WINDOW_SECONDS
    pair_mean: float = PAIR_MEAN
    pair_deviation: float = PAIR_DEVIATION
    tested_exposure: float = TESTED_EXPOSURE


class PairEstimate(NamedTuple):
    """Mean and standard deviation of the logarithm of the slowdown by one task of a class."""

    mean: float
    deviation: float
    reports: int


class Excess(NamedTuple):
    """Smoothed logarithm of the ratio of a service's p99 on a worker to its baseline.

    The baseline is the p99 without batch work, which the intercept estimates.
    """

    value: float
    reports: int
    last_report: float


class _Service:
    """Regression of one service's p99."""

    def __init__(self, log_p99: float, now: float, deviation: float = INTERCEPT_DEVIATION) -> None:
        self.filter = filters.ShrinkageFilter(NOISE_DEVIATION)
        self.filter.add(filters.INTERCEPT, log_p99, INTERCEPT_DEVIATION, INTERCEPT_DRIFT, deviation)
        self.classes: dict[str, str] = {}
        """Name of the coefficient of each job class."""
        self.reports: collections.Counter[str] = collections.Counter()
        self.observation_count = 0
        self.estimates: dict[str, PairEstimate] = {}
        self.observed_at: dict[ids.WorkerId, float] = {}
        self.updated_at = now

    def count_report(self, row: Mapping[str, float], tested_exposure: float) -> None:
        """Count a report for the classes present in it; discard outdated cached estimates."""
        self.observation_count += 1
        for name, weight in row.items():
            if name != filters.INTERCEPT and weight >= tested_exposure:
                self.reports[name] += 1
        if self.observation_count < STABLE_REPORTS or self.observation_count % REFRESH_REPORTS == 0:
            self.estimates.clear()


class InterferenceModel:
    """Learn the slowdown of each (service, job class) pair."""

    def __init__(self, parameters: ModelParameters | None = None) -> None:
        self._parameters = parameters or ModelParameters()
        self._services: dict[ids.ServiceName, _Service] = {}
        self._history: dict[ids.WorkerId, collections.deque[tuple[float, dict[str, float]]]] = {}
        self._excess: dict[ids.WorkerId, dict[ids.ServiceName, Excess]] = {}

    def record_placement(
        self, worker: ids.WorkerId, exposure: Mapping[str, float], now: float
    ) -> None:
        """Record the exposure to each class on a worker from ``now`` on."""
        history = self._history.setdefault(worker, collections.deque())
        if history and history[-1][1] == exposure:
            return
        history.append((now, dict(exposure)))
        while len(history) > 1 and history[1][0] < now - HISTORY_SECONDS:
            history.popleft()

    def record_report(
        self, worker: ids.WorkerId, service: ids.ServiceName, p99_ms: float, now: float
    ) -> None:
        """Learn from one p99, attributed to the placement at the time of its measurement.

        A value that is not positive and finite is ignored.
        """
        if not p99_ms > 0.0 or math.isinf(p99_ms):
            return
        value = math.log(p99_ms)
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service(value, now)
        if not self._is_redundant(worker, service, state, now):
            self._update_regression(worker, service, state, value, now)
        self._smooth_excess(worker, service, value, now)

    def _is_redundant(
        self, worker: ids.WorkerId, service: ids.ServiceName, state: _Service, now: float
    ) -> bool:
        """Return whether the report's window overlaps that of the last report that was used.

        Services with ``STABLE_REPORTS`` skip such reports, which halves the cost.
        """
        last_observed_at = state.observed_at.get(worker, -math.inf)
        return (
            state.observation_count >= STABLE_REPORTS
            and now - last_observed_at < self._parameters.window_seconds
        )

    def _update_regression(
        self,
        worker: ids.WorkerId,
        service: ids.ServiceName,
        state: _Service,
        value: float,
        now: float,
    ) -> None:
        row = self._build_design_row(service, state, self._compute_measured_exposure(worker, now))
        state.filter.advance(now - state.updated_at)
        state.updated_at = now
        state.observed_at[worker] = now
        state.filter.observe(row, value)
        state.count_report(row, self._parameters.tested_exposure)

    def estimate(self, service: ids.ServiceName, job_class: str) -> PairEstimate:
        """Return the estimate of a pair; the prior if it was never observed."""
        state = self._services.get(service)
        if state is None:
            return self._make_prior(service, job_class)
        estimate = state.estimates.get(job_class)
        if estimate is None:
            name = state.classes.get(job_class)
            if name is None:
                estimate = self._make_prior(service, job_class)
            else:
                estimate = PairEstimate(*state.filter.get(name), state.reports[name])
            state.estimates[job_class] = estimate
        return estimate

    def _make_prior(self, service: ids.ServiceName, job_class: str) -> PairEstimate:
        mean = self._compute_prior_mean(service, job_class)
        return PairEstimate(mean, self._parameters.pair_deviation, 0)

    def is_tested(self, service: ids.ServiceName, job_class: str) -> bool:
        """Return whether the pair has enough reports to be placed on any number of workers."""
        return self.estimate(service, job_class).reports >= TESTED_REPORTS

    def get_excess_by_service(self, worker: ids.WorkerId) -> Mapping[ids.ServiceName, Excess]:
        """Return the excess of each service that has reported a p99 from the worker."""
        return self._excess.get(worker, {})

    def predict(
        self, service: ids.ServiceName, exposure: Mapping[str, float], deviations: float = 0.0
    ) -> float:
        """Return the expected logarithm of the slowdown of a service under an exposure."""
        total = 0.0
        for job_class, weight in exposure.items():
            mean, deviation, _ = self.estimate(service, job_class)
            total += weight * max(mean + deviations * deviation, 0.0)
        return total

    def predict_p99(self, service: ids.ServiceName, exposure: Mapping[str, float]) -> float:
        """Return the expected p99 under an exposure, in ms; 0 for a service never observed."""
        state = self._services.get(service)
        if state is None:
            return 0.0
        intercept, _ = state.filter.get(filters.INTERCEPT)
        return math.exp(intercept + self.predict(service, exposure))

    def remove_worker(self, worker: ids.WorkerId) -> None:
        """Discard a worker's placements and excess; estimates learned from it stay."""
        self._history.pop(worker, None)
        self._excess.pop(worker, None)
        for state in self._services.values():
            state.observed_at.pop(worker, None)

    def dump(self) -> dict[str, object]:
        """Return mean, deviation and reports by service and class, as JSON types."""
        result: dict[str, dict[str, list[float]]] = {}
        for service, state in sorted(self._services.items()):
            for job_class in sorted(state.classes):
                pair = self.estimate(service, job_class)
                rounded = [round(pair.mean, 3), round(pair.deviation, 3), pair.reports]
                result.setdefault(service, {})[job_class] = rounded
        return dict(result)

    def export_estimates(self) -> dict[str, dict[str, tuple[float, float, int]]]:
        """Return mean, deviation and reports of each coefficient by service and class.

        ``filters.INTERCEPT`` takes the place of the class for a service's baseline.
        """
        return {
            service: {
                name: (*state.filter.get(name), state.reports[name]) for name in state.filter.names
            }
            for service, state in self._services.items()
        }

    def restore_estimates(
        self, estimates: Mapping[str, Mapping[str, tuple[float, float, int]]], now: float
    ) -> None:
        """Adopt estimates that another process has exported, for services not observed yet."""
        for service, coefficients in estimates.items():
            if service not in self._services and filters.INTERCEPT in coefficients:
                self._services[ids.ServiceName(service)] = self._restore_service(coefficients, now)

    def _restore_service(
        self, coefficients: Mapping[str, tuple[float, float, int]], now: float
    ) -> _Service:
        level, deviation, _ = coefficients[filters.INTERCEPT]
        state = _Service(level, now, deviation)
        for name, (mean, known_deviation, reports) in coefficients.items():
            if name == filters.INTERCEPT:
                continue
            prior = self._parameters.pair_deviation
            state.filter.add(name, mean, prior, PAIR_DRIFT, known_deviation)
            state.reports[name] = reports
            state.classes[name] = name
        return state

    def _compute_measured_exposure(self, worker: ids.WorkerId, now: float) -> dict[str, float]:
        """Return the mean exposure over the window in which the p99 was measured."""
        end = now - self._parameters.report_age_seconds
        begin = end - self._parameters.window_seconds
        total: dict[str, float] = {}
        until = end
        for since, exposure in reversed(self._history.get(worker, ())):
            if since >= until:
                continue
            overlap = until - max(since, begin)
            for job_class, weight in exposure.items():
                share = weight * overlap / self._parameters.window_seconds
                total[job_class] = total.get(job_class, 0.0) + share
            until = since
            if since <= begin:
                break
        return total

    def _build_design_row(
        self, service: ids.ServiceName, state: _Service, exposure: Mapping[str, float]
    ) -> dict[str, float]:
        row = {filters.INTERCEPT: 1.0}
        for job_class, weight in exposure.items():
            name = state.classes.get(job_class)
            if name is None:
                name = self._add_class(service, state, job_class)
            row[name] = row.get(name, 0.0) + weight
        return row

    def _add_class(self, service: ids.ServiceName, state: _Service, job_class: str) -> str:
        name = job_class if len(state.filter) < MAX_CLASSES else OTHER_CLASS
        if name not in state.filter:
            mean = self._compute_prior_mean(service, job_class)
            state.filter.add(name, mean, self._parameters.pair_deviation, PAIR_DRIFT)
        state.classes[job_class] = name
        return name

    def _compute_prior_mean(self, service: ids.ServiceName, job_class: str) -> float:
        """Return the class's mean over other services, shrunk towards the mean of all pairs."""
        total = 0.0
        reports = 0
        for other, state in self._services.items():
            if other == service or job_class not in state.classes:
                continue
            name = state.classes[job_class]
            total += state.filter.get(name)[0] * state.reports[name]
            reports += state.reports[name]
        weight = CLASS_PRIOR_REPORTS + reports
        return (self._parameters.pair_mean * CLASS_PRIOR_REPORTS + total) / weight

    def _smooth_excess(
        self, worker: ids.WorkerId, service: ids.ServiceName, value: float, now: float
    ) -> None:
        intercept, _ = self._services[service].filter.get(filters.INTERCEPT)
        excess = value - intercept
        by_service = self._excess.setdefault(worker, {})
        last = by_service.get(service)
        if last is not None:
            excess = EXCESS_SMOOTHING * excess + (1.0 - EXCESS_SMOOTHING) * last.value
        reports = 1 if last is None else last.reports + 1
        by_service[service] = Excess(excess, reports, now)
