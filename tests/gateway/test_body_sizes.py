"""Know which bodies of a service are unusual."""

from crocusspindle.gateway.body_sizes import (
    MAX_SERVICES,
    MAX_WITHHELD_BYTES,
    MIN_BODIES,
    UNUSUAL_FACTOR,
    USUAL_BYTES,
    BodySizes,
)
from crocusspindle.ids import ServiceId

PAGES = ServiceId("pages")


def sizes_of(*bodies: int) -> BodySizes:
    sizes = BodySizes()
    for size in bodies:
        sizes.record(PAGES, size)
    return sizes


def test_nothing_is_unusual_until_enough_bodies_were_seen():
    """Guards against honest bodies that count as faults of the first target."""
    assert BodySizes().unusual_bytes(PAGES) is None
    assert sizes_of(*[10] * (MIN_BODIES - 1)).unusual_bytes(PAGES) is None
    assert sizes_of(*[10] * MIN_BODIES).unusual_bytes(PAGES) == USUAL_BYTES


def test_the_longest_body_decides():
    bodies = [10] * MIN_BODIES + [USUAL_BYTES // 2]
    assert sizes_of(*bodies).unusual_bytes(PAGES) == UNUSUAL_FACTOR * USUAL_BYTES // 2


def test_no_body_of_a_service_with_long_ones_is_unusual():
    """Guards against memory that is used to withhold long bodies."""
    bodies = [MAX_WITHHELD_BYTES] * MIN_BODIES
    assert sizes_of(*bodies).unusual_bytes(PAGES) is None


def test_the_number_of_services_is_bounded():
    sizes = sizes_of(*[10] * MIN_BODIES)
    for number in range(MAX_SERVICES):
        sizes.record(ServiceId(f"service-{number}"), 10)
    assert sizes.unusual_bytes(PAGES) is None
