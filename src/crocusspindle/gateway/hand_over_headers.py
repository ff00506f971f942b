"""Mark requests that one node hands over to another, and their refusals."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from crocusspindle.gateway.responses import Refusal

AGE: Final = "Crocusspindle-Age-Milliseconds"
VERSION: Final = "Crocusspindle-Configuration-Version"
PLACED: Final = "Crocusspindle-Placed"
ARRIVED: Final = "Crocusspindle-Arrived"
ATTEMPTS: Final = "Crocusspindle-Attempts"
REQUEST_HEADERS: Final = (AGE, VERSION, PLACED, ARRIVED, ATTEMPTS)

REFUSED: Final = "Crocusspindle-Refused"
"""Reason of a refusal by the node that took a request, in place of its response."""


def refusal_headers(reason: str, arrived_attempts: int) -> dict[str, str]:
    """Return the headers of a refusal by the node that took a request."""
    return {REFUSED: reason, ATTEMPTS: str(arrived_attempts)}


def arrived_attempts(headers: Mapping[str, str]) -> int:
    """Return how many attempts a refusal counts, 0 from a node that does not say so."""
    count = headers.get(ATTEMPTS, "")
    return int(count) if count.isdecimal() else 0


@dataclass(frozen=True, slots=True)
class HandedOver:
    """Describe a request that another node handed over.

    ``age_ms`` is the time since its caller's request arrived there. ``version`` is that
    of the configuration by which it was admitted. ``was_placed`` is True if a placer
    has counted it. ``arrived_attempts`` may have reached a target or still run.
    """

    sender: str
    age_ms: float
    version: int
    was_placed: bool
    arrived_attempts: int

    @property
    def has_arrived(self) -> bool:
        """Return True if the request may have reached a target."""
        return self.arrived_attempts > 0

    def headers(self) -> dict[str, str]:
        """Return the request headers that say so."""
        return {
            AGE: str(round(self.age_ms)),
            VERSION: str(self.version),
            PLACED: str(int(self.was_placed)),
            ARRIVED: str(int(self.has_arrived)),
            ATTEMPTS: str(self.arrived_attempts),
        }

    @classmethod
    def from_headers(cls, sender: str, headers: Mapping[str, str]) -> "HandedOver":
        """Read the request headers; raise ``Refusal`` if they are malformed."""
        try:
            return cls(
                sender,
                float(int(headers[AGE])),
                int(headers[VERSION]),
                headers[PLACED] == "1",
                # A node of an older version sends no count.
                int(headers.get(ATTEMPTS, headers[ARRIVED])),
            )
        except (KeyError, ValueError) as error:
            raise Refusal(503, "malformed-hand-over") from error
