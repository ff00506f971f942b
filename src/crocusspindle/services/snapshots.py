"""Shorten startup: store snapshots of the directory, loaded before the log."""

import asyncio
from typing import Final

import msgpack
import xxhash

from crocusspindle.clock import now_ms
from crocusspindle.core.directory_dump import dump
from crocusspindle.core.rendezvous import order
from crocusspindle.errors import InvalidInputError
from crocusspindle.ids import TicketNumber
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.platform.adapter import Platform
from crocusspindle.services.control import ControlService
from crocusspindle.settings_schema import TimingSettings

OBJECT_NAME: Final = "directory"
TICKETS_PER_SNAPSHOT: Final = 200
"""Tickets between two snapshots: 37 snapshots a day at 7,400 tickets, so that a start
reads one page of the log and the writer sends 20 MB every 40 minutes."""

OBJECT_TIMEOUT_FACTOR: Final = 10.0
"""A snapshot of 520,000 customers is 20 MB; its timeout is this many platform timeouts.
"""


class Snapshots:
    """Load and save the state of the directory at one ticket."""

    def __init__(
        self, control: ControlService, platform: Platform, timings: TimingSettings
    ) -> None:
        self._control = control
        self._platform = platform
        self._timeout_ms = timings.platform_timeout_ms * OBJECT_TIMEOUT_FACTOR
        self._saved_number = TicketNumber(0)
        self._logger = Logger("snapshots")

    async def load(self) -> None:
        """Install the stored snapshot; skip a damaged one.

        The ticket log is complete, so a start without a snapshot only takes longer.
        """
        content = await self._platform.get_object(
            OBJECT_NAME, now_ms() + self._timeout_ms
        )
        if content is None:
            return
        try:
            number, digest, directory = msgpack.unpackb(content)
            if xxhash.xxh3_64_intdigest(directory) != digest:
                raise ValueError("the digest differs")
            self._control.install(TicketNumber(number), directory)
        except (ValueError, TypeError, InvalidInputError) as error:
            log_state_change(self._logger, "snapshot passed over", error=str(error))
            return
        self._saved_number = TicketNumber(number)

    async def save_if_due(self) -> None:
        """Store a snapshot if one is due and this node is its writer.

        Two writers may overlap briefly and store the same or a slightly older state.
        The log covers the difference, and a stale snapshot is never installed over
        newer state.
        """
        view, applied = self._control.view, self._control.log.applied
        if view is None or applied < self._saved_number + TICKETS_PER_SNAPSHOT:
            return
        if order(b"snapshot", view.names)[0] != self._control.own_member.member:
            return
        directory = dump(self._control.directory)
        digest = xxhash.xxh3_64_intdigest(directory)
        content = await asyncio.to_thread(msgpack.packb, [applied, digest, directory])
        await self._platform.put_object(
            OBJECT_NAME, content, now_ms() + self._timeout_ms
        )
        self._saved_number = applied
