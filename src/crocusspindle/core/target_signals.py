"""Describe what a target's response tells of the target itself."""

from dataclasses import dataclass
from typing import Final

from crocusspindle.errors import Finding


@dataclass(frozen=True, slots=True)
class TargetSignals:
    """Hold the signals of one response.

    ``limit_per_s`` is the request rate that the target accepts from the whole fleet,
    and ``retry_after_ms`` how long it wants no request from this node; both are None
    without a signal. ``is_leaving`` is True if the target is about to stop. ``refused``
    names the values that are malformed and have no effect, ``unknown`` the headers that
    look like signals and are not known.
    """

    limit_per_s: float | None = None
    retry_after_ms: float | None = None
    is_leaving: bool = False
    refused: tuple[Finding, ...] = ()
    unknown: tuple[str, ...] = ()


NO_SIGNALS: Final = TargetSignals()
