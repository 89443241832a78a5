"""Predict the tail latency of latency-critical tasks beside best-effort tasks.

Load pattern: tens of best-effort images beside latency-critical ones whose load rises and falls by
half within seconds, so that a best-effort task that is harmless at low load is not at high load.

The latency is modelled as that of a queue whose service time is inflated by the best-effort tasks:
``floor * s / (1 - load * s)``, where ``s`` is 1 plus, for each best-effort image, a coefficient
times the exposure to it. All tasks of a stage share their load, which is measured on workers
without exposure. The coefficient of a pair of images is estimated from its own observations and,
before there are enough, from the pressure of the best-effort image and the sensitivity of the
latency-critical one (Bubble-Up: Mars et al., MICRO 2011; Paragon: Delimitrou and Kozyrakis, ASPLOS
2013).

The floor follows from the target until a lower latency has been measured, and the coefficients
depend on the floor. A target is whatever a caller has submitted, so what is learned of an image
with one target is kept apart from what is learned of it with another.
"""

import collections
import itertools
import math
import statistics
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from crocusrudder.core import ids
from crocusrudder.placement import filters
from crocusrudder.workflows import model
from crocusrudder.workflows import rows

PRIOR_MEAN = 0.3
PRIOR_DEVIATION = 0.6
"""Prior of a coefficient, for a best-effort task on a tenth of the worker's processors. Most images
either do not interfere or double the service time."""
PAIR_SPREAD = 0.3
"""Deviation of a pair's coefficient from pressure times sensitivity, as a share of it."""
MIN_PAIR_SPREAD = 0.02
SENSITIVITY_DEVIATION = 0.5
"""Prior deviation of the sensitivity of a latency-critical image from 1."""
DRIFT = 2e-4
"""Variance per second of a coefficient, as the interference of an image changes over minutes."""
NOISE_DEVIATION = 0.15
"""Standard deviation of a measured inflation; latencies come in whole milliseconds."""
UNKNOWN_LOAD_NOISE_DEVIATION = 0.25
"""The same while the load is not measured without exposure."""
SATURATED_LATENCY = 12.0
"""Ratio of latency to floor above which the queue grows and the inflation has a lower bound only"""
TESTED_DEVIATION = 0.2
TESTED_RELATIVE_DEVIATION = 0.5
"""Standard deviation of a coefficient, absolute or as a share of its mean, up to which it is known
well enough to place further tasks by it."""

TESTED_CAUTION = 0.6
"""Standard deviations that are added to a coefficient that is known well enough. With more, batch
jobs that are slowed for an error that is unlikely miss what their callers asked for."""

FLOOR_SHARE = 0.25
"""Latency without load as a share of the target, until a lower one has been measured."""
MIN_FLOOR_MS = 1.0
"""Least latency without load; workers measure in whole milliseconds."""
CREDIBLE_RATIO = 10.0
"""Ratio of a target to the lowest measured latency, either way, up to which the target tells of the
latency without load. Beyond it, nothing is concluded for other images and for later owners."""
MAX_LOG_FLOOR = 100.0
"""Limit of the logarithm of a stored floor in ms; exp(710) has no value."""
MAX_COEFFICIENT = 100.0
"""Limit of a restored coefficient: a tenth of the processors that slows a service down by this
factor leaves it no target to keep."""
RESTORED_FLOOR_RATIO = 2.0
"""Ratio of a floor without a known target to that of a target, either way, up to which the
estimates stored with it are used."""
DEFAULT_LOAD = 0.4
"""Load of a stage that has not been measured yet."""
MAX_LOAD = 0.98
BIN_SECONDS = 0.5
"""Interval at which workers measure."""
TREND_BINS = 3
HISTORY_BINS = 24
"""Bins of which the mean and the maximum load are known: one period of a load that swings."""
LOAD_VALID_SECONDS = 2.0
"""Time for which a measured load holds without another measurement without exposure."""
LEAD_SECONDS = 1.2
"""Time from a measurement until a CPU share that is chosen on it has had its effect."""
MEMORY_SECONDS = 0.6
"""Time constant with which a latency follows a change of the exposure."""
NO_INFLATION = 0.05
"""Inflation, reckoned high, up to which a task counts as not exposed."""
NO_EXPOSURE = 0.02
"""Exposure that an observation of a coefficient must exceed to count."""
CHANGING_EXPOSURE = 0.25
"""Relative change of the inflation from which the latency has not followed it yet."""
SETTLE_SECONDS = 1.5
"""Time in which a queue that has built up drains; until then, a latency above the prediction is not
put down to the images that still work."""


class Estimate(NamedTuple):
    """Mean and standard deviation of a coefficient, and the number of its observations."""

    mean: float
    deviation: float
    reports: int

    @property
    def upper(self) -> float:
        """Return the coefficient to reckon with until it is known better."""
        caution = TESTED_CAUTION if self.is_tested else 1.0
        return max(self.mean + caution * self.deviation, 0.0)

    @property
    def is_tested(self) -> bool:
        limit = max(TESTED_DEVIATION, TESTED_RELATIVE_DEVIATION * self.mean)
        return self.deviation <= limit


class StageLoad:
    """Load of the tasks of one latency-critical stage, in bins of ``BIN_SECONDS``."""

    def __init__(self) -> None:
        self._bins: collections.deque[float] = collections.deque(maxlen=HISTORY_BINS)
        self._bin = 0
        self._samples: list[float] = []
        self._measured_at = -math.inf

    def record(self, load: float, now: float) -> None:
        """Record a load measured without exposure."""
        self._close_bin(now)
        self._samples.append(load)
        self._measured_at = now

    def is_measured(self, now: float) -> bool:
        """Return whether the load has been measured shortly before."""
        return now - self._measured_at <= LOAD_VALID_SECONDS

    def get_current(self) -> float:
        """Return the last measured load."""
        if self._samples:
            return statistics.median_low(self._samples)
        return self._bins[-1] if self._bins else DEFAULT_LOAD

    def predict(self, now: float) -> float:
        """Return the load to expect once a change of CPU shares takes effect."""
        if not self.is_measured(now):
            return max(self.compute_mean(), self.get_current())
        current = self.get_current()
        earlier = self._bins[-TREND_BINS] if len(self._bins) >= TREND_BINS else current
        rise = (current - earlier) / (TREND_BINS * BIN_SECONDS)
        return min(current + max(rise, 0.0) * LEAD_SECONDS, MAX_LOAD)

    def compute_mean(self) -> float:
        """Return the mean load of the last period."""
        return statistics.fmean(self._bins) if self._bins else self.get_current()

    def get_peak(self) -> float:
        """Return the highest load of the last period."""
        return max(self._bins, default=self.get_current())

    def _close_bin(self, now: float) -> None:
        current = int(now / BIN_SECONDS)
        if current != self._bin:
            if self._samples:
                self._bins.append(statistics.median_low(self._samples))
                self._samples = []
            self._bin = current


class _Image:
    """Coefficients of one latency-critical image with one target."""

    def __init__(self, target_ms: float, now: float) -> None:
        self._target_ms = target_ms
        self._lowest_ms = math.inf
        """Lowest latency measured in this epoch."""
        self.floor_ms = compute_floor(target_ms)
        self.filter = filters.ShrinkageFilter(1.0)
        self.reports: collections.Counter[str] = collections.Counter()
        self.updated_at = now
        self.sensitivity = 1.0

    @property
    def is_credible(self) -> bool:
        """Return False if the target is too far from what was measured to tell of the floor."""
        if self._lowest_ms == math.inf:
            return True
        ratio = self._target_ms / self._lowest_ms
        return 1 / CREDIBLE_RATIO <= ratio <= CREDIBLE_RATIO

    def record_lowest(self, latency_ms: float) -> None:
        """Lower the floor to a measured latency of ``MIN_FLOOR_MS`` or more."""
        self._lowest_ms = min(self._lowest_ms, latency_ms)
        self.floor_ms = min(self.floor_ms, latency_ms)

    def restore(self, floor_ms: float, coefficients: rows.Coefficients) -> int:
        """Adopt stored estimates; return how many of them are out of range."""
        self.floor_ms = min(self.floor_ms, floor_ms)
        accepted = {n: c for n, c in coefficients.items() if is_coefficient_valid(c)}
        for name, (mean, deviation, reports) in accepted.items():
            self.filter.add(name, mean, PRIOR_DEVIATION, DRIFT, deviation)
            self.reports[name] = reports
        return len(coefficients) - len(accepted)

    def get_information(self, name: str) -> tuple[float, float]:
        """Return the mean of a pair's own observations and their weight, as inverse variance."""
        if name not in self.filter:
            return 0.0, 0.0
        mean, deviation = self.filter.get(name)
        prior = 1 / PRIOR_DEVIATION**2
        precision = 1 / max(deviation, 1e-3) ** 2
        weight = precision - prior
        if weight <= 1e-6:
            return 0.0, 0.0
        return (mean * precision - PRIOR_MEAN * prior) / weight, weight


def compute_floor(target_ms: float) -> float:
    """Return the latency without load that a target suggests, in ms."""
    return max(FLOOR_SHARE * target_ms, MIN_FLOOR_MS)


def is_coefficient_valid(coefficient: rows.Coefficient) -> bool:
    """Return whether a filter can have learned this mean, deviation and number of reports."""
    mean, deviation, reports = coefficient
    return abs(mean) <= MAX_COEFFICIENT and 0.0 < deviation < math.inf and reports >= 0


def _list_coefficients(state: _Image) -> rows.Coefficients:
    learned = {n: (*state.filter.get(n), state.reports[n]) for n in state.filter.names}
    return {name: item for name, item in learned.items() if is_coefficient_valid(item)}


class LatencyModel:
    """Learn loads, and how much each best-effort image slows each latency-critical one down."""

    def __init__(self) -> None:
        self._images: dict[model.ServedImage, _Image] = {}
        self._untargeted: rows.PairEstimates = {}
        """Estimates of an earlier release by latency-critical image, with no target known."""
        self._loads: dict[Hashable, StageLoad] = {}
        self._exposures: dict[ids.ProcessId, dict[str, float]] = {}
        self._averages: dict[ids.ProcessId, dict[str, float]] = {}
        """Exposures averaged over the memory of the latencies, by agent."""
        self._averaged_at: dict[ids.ProcessId, float] = {}
        self._fell_at: dict[tuple[ids.ProcessId, model.ServedImage], float] = {}
        """When the inflation last fell, by agent and latency-critical image."""
        self._pressures: dict[str, tuple[float, float]] = {}
        """Mean and standard deviation by best-effort image."""
        self._estimates: dict[tuple[model.ServedImage, str], Estimate] = {}

    def record_exposure(
        self, agent: ids.ProcessId, exposure: Mapping[str, float], now: float
    ) -> None:
        """Record the exposure to each best-effort image on a worker from ``now`` on.

        What is there at the first record is taken to have been there before.
        """
        present = {name: units for name, units in exposure.items() if units}
        if agent not in self._averaged_at:
            self._averages[agent] = dict(present)
        self._average(agent, now)
        self._exposures[agent] = present

    def record_latency(
        self,
        agent: ids.ProcessId,
        stage: Hashable,
        image: model.ServedImage,
        latency_ms: float,
        now: float,
    ) -> float:
        """Learn from a latency; return by how much the inflation exceeds the prediction."""
        self._average(agent, now)
        state = self._images[image]
        latency_ms = max(latency_ms, MIN_FLOOR_MS)
        state.record_lowest(latency_ms)
        exposure = self._averages.get(agent, {})
        load = self._loads.setdefault(stage, StageLoad())
        if self._reckon(image, exposure) < NO_INFLATION:
            load.record(1 - state.floor_ms / latency_ms, now)
        total = sum(exposure.values())
        if total <= NO_EXPOSURE:
            return 0.0
        inflation = self._invert(state, load.get_current(), latency_ms)
        expected = sum(self.estimate(image, name).mean * x for name, x in exposure.items())
        excess = inflation - expected
        is_saturated = latency_ms > SATURATED_LATENCY * state.floor_ms
        present = self._reckon(image, self._exposures.get(agent, {}))
        reflected = self._reckon(image, exposure)
        is_rising = present > reflected * (1 + CHANGING_EXPOSURE)
        if present < reflected * (1 - CHANGING_EXPOSURE):
            self._fell_at[agent, image] = now
        is_falling = now - self._fell_at.get((agent, image), -math.inf) < SETTLE_SECONDS
        if excess <= 0 and not (is_saturated or is_rising) or excess > 0 and not is_falling:
            self._update(state, image, exposure, inflation, load.is_measured(now), now)
        return 0.0 if is_falling else excess

    def get_average_exposure(self, agent: ids.ProcessId) -> Mapping[str, float]:
        """Return the exposure that the last latency of a worker reflects."""
        return self._averages.get(agent, {})

    def ensure_image(self, image: model.ServedImage, now: float) -> None:
        """Add a latency-critical image unless it is known with this target."""
        if image in self._images:
            return
        state = self._images[image] = _Image(image.target_ms, now)
        known = self._untargeted.get(image.image, {})
        floor_ms = math.exp(known[rows.FLOOR][0]) if rows.FLOOR in known else math.inf
        ratio = floor_ms / state.floor_ms
        if 1 / RESTORED_FLOOR_RATIO <= ratio <= RESTORED_FLOOR_RATIO:
            state.restore(floor_ms, {n: c for n, c in known.items() if n != rows.FLOOR})
            self.refresh()

    def get_load(self, stage: Hashable) -> StageLoad:
        """Return the load of a stage."""
        return self._loads.setdefault(stage, StageLoad())

    def forget_stages(self, present: set) -> None:
        """Discard the loads of stages that are gone."""
        self._loads = {stage: load for stage, load in self._loads.items() if stage in present}

    def compute_slack(self, image: model.ServedImage, share: float, load: float) -> float:
        """Return the inflation beyond 1 with which the latency reaches a share of the target."""
        state = self._images.get(image)
        limit_ms = share * image.target_ms
        ratio = limit_ms / (state.floor_ms if state else compute_floor(limit_ms))
        return ratio / (1 + ratio * load) - 1

    def predict_ms(
        self, image: model.ServedImage, load: float, exposure: Mapping[str, float]
    ) -> float:
        """Return the expected latency under an exposure, in ms; 0 for an unknown image."""
        if image not in self._images:
            return 0.0
        service = 1 + sum(max(self.estimate(image, n).mean, 0.0) * x for n, x in exposure.items())
        return self._images[image].floor_ms * service / (1 - min(load * service, MAX_LOAD))

    def estimate(self, image: model.ServedImage, name: str) -> Estimate:
        """Return the coefficient of a latency-critical and a best-effort image."""
        found = self._estimates.get((image, name))
        if found is None:
            found = self._estimates[image, name] = self._combine(image, name)
        return found

    def refresh(self) -> None:
        """Compute pressures, sensitivities and estimates anew from the coefficients of pairs."""
        for state in self._images.values():
            state.sensitivity = self._estimate_sensitivity(state)
        names = set(itertools.chain.from_iterable(s.filter.names for s in self._images.values()))
        self._pressures = {name: self._estimate_pressure(name) for name in names}
        self._estimates.clear()

    def export_estimates(self) -> tuple[rows.ServedEstimates, ...]:
        """Return the estimates of each image that is credible, the latest updated first."""
        images = sorted(self._images.items(), key=lambda item: -item[1].updated_at)
        return tuple(
            rows.ServedEstimates(*image, state.floor_ms, _list_coefficients(state))
            for image, state in images
            if state.is_credible
        )

    def restore_estimates(self, estimates: Iterable[rows.ServedEstimates], now: float) -> int:
        """Adopt exported estimates for images not observed yet; return how many are out of range.

        One that is out of range is left out, and the others hold.
        """
        left_out = 0
        for stored in estimates:
            image = model.ServedImage(stored.image, stored.target_ms)
            is_target_valid = model.MIN_TARGET_MS <= image.target_ms < math.inf
            if not is_target_valid or not MIN_FLOOR_MS <= stored.floor_ms < math.inf:
                left_out += 1
            elif image not in self._images:
                state = self._images[image] = _Image(image.target_ms, now)
                left_out += state.restore(stored.floor_ms, stored.coefficients)
        self.refresh()
        return left_out

    def restore_untargeted(self, estimates: rows.PairEstimates) -> int:
        """Keep estimates of an earlier release; return how many images are out of range.

        They are used for an image whose target accounts for the floor that is stored with them.
        """
        self._untargeted = {
            image: pairs
            for image, pairs in estimates.items()
            if rows.FLOOR in pairs and abs(pairs[rows.FLOOR][0]) <= MAX_LOG_FLOOR
        }
        return len(estimates) - len(self._untargeted)

    def _reckon(self, image: model.ServedImage, exposure: Mapping[str, float]) -> float:
        """Return the inflation beyond 1 to reckon with under an exposure."""
        return sum(self.estimate(image, name).upper * x for name, x in exposure.items())

    def _invert(self, state: _Image, load: float, latency_ms: float) -> float:
        """Return the inflation beyond 1 that explains a latency."""
        return latency_ms / (state.floor_ms + load * latency_ms) - 1

    def _update(
        self,
        state: _Image,
        image: model.ServedImage,
        exposure: Mapping[str, float],
        inflation: float,
        is_load_measured: bool,
        now: float,
    ) -> None:
        noise = NOISE_DEVIATION if is_load_measured else UNKNOWN_LOAD_NOISE_DEVIATION
        state.filter.advance(now - state.updated_at)
        state.updated_at = now
        for name, units in exposure.items():
            if name not in state.filter:
                state.filter.add(name, PRIOR_MEAN, PRIOR_DEVIATION, DRIFT)
            state.reports[name] += units > NO_EXPOSURE
        # The filter's noise is 1, so rows and values are scaled by the noise of the observation.
        row = {name: units / noise for name, units in exposure.items()}
        state.filter.observe(row, inflation / noise)
        for name in state.filter.names:
            self._estimates.pop((image, name), None)

    def _combine(self, image: model.ServedImage, name: str) -> Estimate:
        state = self._images.get(image)
        pressure, pressure_deviation = self._pressures.get(name, (PRIOR_MEAN, PRIOR_DEVIATION))
        sensitivity = state.sensitivity if state else 1.0
        mean = pressure * sensitivity
        spread = PAIR_SPREAD * mean + MIN_PAIR_SPREAD
        variance = (pressure_deviation * sensitivity) ** 2 + spread**2
        own, weight = state.get_information(name) if state else (0.0, 0.0)
        total = weight + 1 / variance
        reports = state.reports[name] if state else 0
        return Estimate(
            max((own * weight + mean / variance) / total, 0.0), 1 / math.sqrt(total), reports
        )

    def _estimate_pressure(self, name: str) -> tuple[float, float]:
        total = PRIOR_MEAN / PRIOR_DEVIATION**2
        precision = 1 / PRIOR_DEVIATION**2
        for state in self._images.values():
            own, weight = state.get_information(name)
            if weight and state.is_credible:
                # A pair tells no more of the pressure than its own deviation from it allows.
                spread = PAIR_SPREAD * max(own, 0.0) + MIN_PAIR_SPREAD
                weight = 1 / (1 / weight + spread**2)
                total += weight * own * state.sensitivity
                precision += weight * state.sensitivity**2
        return max(total / precision, 0.0), 1 / math.sqrt(precision)

    def _estimate_sensitivity(self, state: _Image) -> float:
        precision = 1 / SENSITIVITY_DEVIATION**2
        total = precision
        for name in state.filter.names:
            pressure, deviation = self._pressures.get(name, (0.0, math.inf))
            own, weight = state.get_information(name)
            if weight and pressure > deviation:
                spread = PAIR_SPREAD * pressure + MIN_PAIR_SPREAD
                weight = 1 / (1 / weight + spread**2 + deviation**2)
                total += weight * own * pressure
                precision += weight * pressure**2
        return max(total / precision, 0.1)

    def _average(self, agent: ids.ProcessId, now: float) -> None:
        """Let the averaged exposure follow the present one up to ``now``."""
        present = self._exposures.get(agent, {})
        average = self._averages.setdefault(agent, {})
        keep = math.exp(-(now - self._averaged_at.get(agent, now)) / MEMORY_SECONDS)
        self._averaged_at[agent] = now
        for name in average.keys() | present.keys():
            units = keep * average.get(name, 0.0) + (1 - keep) * present.get(name, 0.0)
            if units < 1e-3:
                average.pop(name, None)
            else:
                average[name] = units
