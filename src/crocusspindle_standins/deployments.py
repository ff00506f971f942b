"""Define the fleets that a demonstration can start, and their customers."""

from dataclasses import dataclass
from typing import Final

from crocusspindle_standins.callers import CustomerPlan
from crocusspindle_standins.fleet import Layout, TargetGroup

ECHO: Final = "echo"
"""A service that responds at once, to measure the latency that the fleet adds."""

# One customer sends at a multiple of its rate, the others at a fraction of theirs.
OVER_RATE_CUSTOMER: Final = 2
OVER_RATE_FACTOR: Final = 5.0
TYPICAL_LOAD: Final = 0.7


@dataclass(frozen=True)
class Deployment:
    """Describe the targets and customers of a demonstration."""

    layout: Layout
    customers: tuple[CustomerPlan, ...]
    gray_service: str


def _customers(
    services: tuple[str, ...], post_services: tuple[str, ...], scale: float
) -> tuple[CustomerPlan, ...]:
    """Return eight customers, a few of them large, one at five times its rate."""
    rates = (20.0, 15.0, 10.0, 4.0, 3.0, 2.0, 2.0, 1.0)
    plans = []
    for number, rate in enumerate(rates):
        load = OVER_RATE_FACTOR if number == OVER_RATE_CUSTOMER else TYPICAL_LOAD
        plans.append(
            CustomerPlan(
                customer=f"customer-{number}",
                key=f"{number:04d}-key-of-customer-{number}",
                rate_per_s=rate * scale,
                burst=max(2, int(2 * rate * scale)),
                sends_per_s=rate * load * scale,
                services=services,
                post_services=post_services,
            )
        )
    return tuple(plans)


def _small() -> Deployment:
    groups = (
        TargetGroup("katalog", 4, 2, 20.0),
        TargetGroup("bayaran", 4, 2, 20.0),
        TargetGroup(ECHO, 2, 32, 0.0, queue=64),
    )
    customers = _customers(("katalog", "bayaran"), ("bayaran",), 2.5)
    return Deployment(Layout(6, 3, groups), customers, "katalog")


def _bengkel() -> Deployment:
    groups = (
        TargetGroup("katalog", 8, 2, 40.0),
        TargetGroup("bayaran", 15, 2, 40.0),
        TargetGroup("galeri", 8, 2, 40.0),
        TargetGroup(ECHO, 2, 32, 0.0, queue=64),
    )
    services = ("katalog", "bayaran", "galeri")
    customers = _customers(services, ("bayaran", "galeri"), 2.0)
    return Deployment(Layout(12, 4, groups), customers, "katalog")


def _port_louis() -> Deployment:
    groups = (
        TargetGroup("schedule-desk", 10, 6, 40.0),
        TargetGroup("order-desk", 15, 6, 40.0),
        TargetGroup("depot-records", 6, 6, 40.0),
        TargetGroup(ECHO, 2, 32, 0.0, queue=64),
    )
    services = ("schedule-desk", "order-desk", "depot-records")
    customers = _customers(services, ("order-desk",), 2.0)
    return Deployment(Layout(12, 3, groups), customers, "order-desk")


DEPLOYMENTS: Final = {
    "small": _small,
    "bengkel": _bengkel,
    "port-louis": _port_louis,
}
