"""Declare, count and render metrics.

Instruments are declared once, with the information that operators need; the metrics
page for operators is generated from these declarations.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from aiohttp import web
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import Histogram, MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

PREFIX: Final = "crocusspindle_"
OTHER: Final = "other"
"""The label value that replaces all values above the bound."""

LABEL_VALUES_MAX: Final = 100
"""Maximum number of values of one label. With 520,000 customers, an unbounded label
would exceed a node's memory limit and stop the scraper."""

LATENCY_BUCKETS_MS: Final = (
    *(0.5, 1, 2, 3.5, 5, 7.1, 10, 20, 50, 100),
    *(200, 500, 1_000, 2_000, 5_000, 10_000, 30_000),
)


class InstrumentKind(Enum):
    """Kind of an instrument, as Prometheus names it."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class Instrument:
    """Describe one metric for the code and for operators."""

    name: str
    kind: InstrumentKind
    unit: str
    meaning: str
    when_rising: str
    labels: tuple[str, ...] = ()

    @property
    def exported_name(self) -> str:
        """Return the metric's name as scraped."""
        suffix = "_total" if self.kind is InstrumentKind.COUNTER else ""
        return f"{PREFIX}{self.name}{suffix}"


_DECLARED: Final[dict[str, Instrument]] = {}


def declare(
    name: str,
    kind: InstrumentKind,
    *,
    unit: str,
    meaning: str,
    when_rising: str,
    labels: tuple[str, ...] = (),
) -> Instrument:
    """Declare an instrument under a unique name."""
    if name in _DECLARED:
        raise ValueError(f"metric {name} is declared twice")
    instrument = Instrument(name, kind, unit, meaning, when_rising, labels)
    _DECLARED[name] = instrument
    return instrument


def declared() -> Mapping[str, Instrument]:
    """Return all declared instruments by name."""
    return _DECLARED


class Metrics:
    """Hold the metric values of one process."""

    def __init__(
        self, node: str, domain: str, label_values_max: int = LABEL_VALUES_MAX
    ) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            scope_info_enabled=False, registry=self._registry
        )
        buckets = ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_MS)
        self._provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource({"service.name": node, "failure.domain": domain}),
            views=[View(instrument_type=Histogram, aggregation=buckets)],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("crocusspindle")
        self._instruments: dict[str, Any] = {}
        self._counts: dict[str, dict[tuple[str, ...], float]] = {}
        self._label_values: dict[str, set[str]] = {}
        self._label_values_max = label_values_max

    def add(self, counter: Instrument, amount: float = 1, **labels: str) -> None:
        """Add to a counter.

        Each request does this several times, so counts are kept in a dict that the
        exporter reads on scrape: the library's own counter takes 15 us per call.
        """
        counts = self._counts.get(counter.name)
        if counts is None:
            counts = self._create_counter(counter)
        key = tuple(labels[name] for name in counter.labels)
        if key not in counts:
            bounded = self._bounded_labels(labels)
            key = tuple(bounded[name] for name in counter.labels)
        counts[key] = counts.get(key, 0.0) + amount

    def set(self, gauge: Instrument, value: float, **labels: str) -> None:
        """Set the value of a gauge."""
        self._instrument(gauge).set(value, self._bounded_labels(labels))

    def record(self, histogram: Instrument, value: float, **labels: str) -> None:
        """Record one value in a histogram."""
        self._instrument(histogram).record(value, self._bounded_labels(labels))

    def observe(
        self,
        gauge: Instrument,
        read: Callable[[], Iterable[tuple[float, Mapping[str, str]]]],
    ) -> None:
        """Read a gauge's values and labels on each scrape."""

        def callback(options: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, self._bounded_labels(gauge_labels))
                for value, gauge_labels in read()
            ]

        self._instruments[gauge.name] = self._meter.create_observable_gauge(
            PREFIX + gauge.name, [callback], description=gauge.meaning
        )

    def render(self) -> bytes:
        """Return all values in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the exporter."""
        self._provider.shutdown()

    def _create_counter(self, counter: Instrument) -> dict[tuple[str, ...], float]:
        counts: dict[tuple[str, ...], float] = {}

        def callback(options: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, dict(zip(counter.labels, key, strict=True)))
                for key, value in counts.items()
            ]

        self._counts[counter.name] = counts
        self._instruments[counter.name] = self._meter.create_observable_counter(
            PREFIX + counter.name, [callback], description=counter.meaning
        )
        return counts

    def _instrument(self, instrument: Instrument) -> Any:
        exported = self._instruments.get(instrument.name)
        if exported is None:
            is_histogram = instrument.kind is InstrumentKind.HISTOGRAM
            create = (
                self._meter.create_histogram
                if is_histogram
                else self._meter.create_gauge
            )
            exported = create(PREFIX + instrument.name, description=instrument.meaning)
            self._instruments[instrument.name] = exported
        return exported

    def _bounded_labels(self, labels: Mapping[str, str]) -> Mapping[str, str]:
        for label, value in labels.items():
            seen = self._label_values.setdefault(label, set())
            if value in seen:
                continue
            if len(seen) >= self._label_values_max:
                return {
                    name: self._bounded_value(name, text)
                    for name, text in labels.items()
                }
            seen.add(value)
        return labels

    def _bounded_value(self, label: str, value: str) -> str:
        seen = self._label_values.setdefault(label, set())
        if value in seen or len(seen) < self._label_values_max:
            seen.add(value)
            return value
        return OTHER


def metrics_app(metrics: Metrics) -> web.Application:
    """Return the application of the scrape endpoint, ``GET /metrics``."""

    async def scrape(request: web.Request) -> web.Response:
        headers = {"Content-Type": "text/plain; version=0.0.4; charset=utf-8"}
        return web.Response(body=metrics.render(), headers=headers)

    app = web.Application()
    app.router.add_get("/metrics", scrape)
    return app
