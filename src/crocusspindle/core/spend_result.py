"""Define the decisions of a quota keeper on requests for a token."""

from dataclasses import dataclass
from typing import Final

NOT_RETURNABLE: Final = 0
"""Number of a token that can't be returned."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """Admit a request; ``token`` is the number by which its token can be returned."""

    token: int = NOT_RETURNABLE


@dataclass(frozen=True, slots=True)
class OverRate:
    """Refuse a request over the customer's rate, until a token is available."""

    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class NotKept:
    """Report that this node does not keep the customer, or not yet."""


SpendResult = Admitted | OverRate | NotKept
