"""Hold the newest known version of a state and the age of its confirmation."""

import math
from dataclasses import dataclass
from typing import Generic, TypeVar

from crocusspindle.core.store_version import StoreVersion

Content = TypeVar("Content")
Version = TypeVar("Version", int, StoreVersion)


@dataclass(slots=True)
class VersionedState(Generic[Content, Version]):
    """Hold the newest known content and when it was last confirmed as the newest.

    ``confirmed_at_ms`` is when the read began whose response showed that no newer
    version existed. It never decreases: a late response to an older read confirms less.
    """

    version: Version
    content: Content | None = None
    confirmed_at_ms: float = -math.inf

    def update(
        self, content: Content, version: Version, confirmed_at_ms: float
    ) -> bool:
        """Apply newer content; return True if it replaced the older one.

        A slow response may hold an older version than the one in force. Applying it
        would serve routes and keys that were already withdrawn.
        """
        if version < self.version:
            return False
        replaced = version > self.version
        if replaced:
            self.content = content
            self.version = version
        self.confirmed_at_ms = max(self.confirmed_at_ms, confirmed_at_ms)
        return replaced

    def confirm(self, version: Version, confirmed_at_ms: float) -> None:
        """Record that a version was the newest at a time."""
        if version == self.version:
            self.confirmed_at_ms = max(self.confirmed_at_ms, confirmed_at_ms)

    def age_ms(self, now_ms: float) -> float:
        """Return how long ago the confirming read began."""
        return now_ms - self.confirmed_at_ms
