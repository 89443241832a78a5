"""Counters and histograms of a process, rendered in the Prometheus text format."""

import re
from collections.abc import Iterator

import prometheus_client
import prometheus_client.core
import prometheus_client.exposition
import prometheus_client.metrics_core
from hdrh import histogram

PREFIX = "crocusrudder"
UNITS_PER_SECOND = 1_000_000
"""Histograms count whole microseconds."""
MAX_VALUE = 86_400 * UNITS_PER_SECOND
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MAX_NAMES = 512
"""Maximum number of metrics; bounds memory in case names are derived from input."""
DROPPED_NAME = "metrics_dropped"

_INVALID = re.compile(r"[^a-zA-Z0-9_]")


class _Series:
    """One histogram and the sum of its values."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(1, MAX_VALUE, SIGNIFICANT_DIGITS)
        self._sum = 0.0

    def record(self, value: float) -> None:
        """Add a value in seconds; values outside the range are clamped."""
        units = round(value * UNITS_PER_SECOND)
        self._histogram.record_value(min(max(units, 1), MAX_VALUE))
        self._sum += value

    def make_metric(self, name: str) -> prometheus_client.metrics_core.Metric:
        """Return the quantiles, the sum and the count as a summary."""
        metric = prometheus_client.metrics_core.Metric(name, name, "summary")
        for quantile in QUANTILES:
            units = self._histogram.get_value_at_percentile(quantile * 100)
            labels = {"quantile": str(quantile)}
            metric.add_sample(name, labels, units / UNITS_PER_SECOND)
        metric.add_sample(f"{name}_sum", {}, self._sum)
        metric.add_sample(f"{name}_count", {}, self._histogram.get_total_count())
        return metric


class Metrics:
    """Store all counters and histograms of a process."""

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._series: dict[str, _Series] = {}
        self._registry = prometheus_client.CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    @property
    def counters(self) -> dict[str, int]:
        """Return a copy of the counters by name."""
        return dict(self._counters)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter; new names above ``MAX_NAMES`` count as ``metrics_dropped``."""
        if name not in self._counters and self._is_full():
            name = DROPPED_NAME
        self._counters[name] = self._counters.get(name, 0) + amount

    def observe(self, name: str, value: float) -> None:
        """Record a value in a histogram; durations are in seconds."""
        if name not in self._series:
            if self._is_full():
                self.count(DROPPED_NAME)
                return
            self._series[name] = _Series()
        self._series[name].record(value)

    def collect(self) -> Iterator[prometheus_client.metrics_core.Metric]:
        """Yield all metrics; called by the Prometheus registry."""
        for name, value in sorted(self._counters.items()):
            full = _make_name(name)
            yield prometheus_client.core.CounterMetricFamily(full, name, value=value)
        for name, series in sorted(self._series.items()):
            yield series.make_metric(_make_name(name))

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.exposition.generate_latest(self._registry).decode()

    def _is_full(self) -> bool:
        return len(self._counters) + len(self._series) >= MAX_NAMES


def _make_name(name: str) -> str:
    return f"{PREFIX}_{_INVALID.sub('_', name)}"
