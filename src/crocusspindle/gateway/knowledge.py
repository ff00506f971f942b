"""Hold what this node believes, and tell its services when that changes."""

import asyncio
import math
import zlib
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import astuple
from typing import Any, ClassVar, Final, NamedTuple

import msgpack

from crocusspindle.clock import now_ms, wall_ms
from crocusspindle.core.configuration import Configuration
from crocusspindle.core.crash_record import Crash, CrashRecord
from crocusspindle.core.crash_table import CrashTable
from crocusspindle.core.listed_target import (
    ListedTarget,
    Readiness,
    TargetIdentity,
)
from crocusspindle.core.versioned_state import VersionedState
from crocusspindle.core.view import NodeAddress, View, ViewEntry
from crocusspindle.errors import InvalidInputError
from crocusspindle.gateway.messages import State
from crocusspindle.gateway.updates import Forms, Packed
from crocusspindle.ids import ContentDigest, DomainId, HostId, Incarnation, ServiceId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change

FIRST_READ_MS: Final = 1_000.0
"""A node that has just started reads its first configuration 0.1 to 0.3 s later.
Callers that come before are better served by that wait than sent away; after this time
the platform is out of reach and nobody knows until when."""

NO_DIGEST: Final = 0
NEVER_MS: Final = 1e9
"""Stands for the age of a proof that is not there."""


def digest_of(form: bytes) -> int:
    """Return a digest by which two nodes see that they hold the same."""
    return zlib.crc32(form) or 1


class Held(NamedTuple):
    """Hold the keys of the forms that a node can take an update to."""

    configuration_version: int
    targets_digest: int
    view_number: int
    open_digest: int
    crash_digest: int


NOTHING_HELD: Final = Held(-1, NO_DIGEST, -1, NO_DIGEST, NO_DIGEST)


class Knowledge(Service):
    """Hold configuration, targets, view and open nodes, each with its proof."""

    name: ClassVar[str] = "knowledge"

    def __init__(self, parse: Callable[[bytes], Configuration]) -> None:
        self._parse = parse
        self._log = Logger("knowledge")
        self.configuration: VersionedState[Configuration] = VersionedState()
        self.targets: VersionedState[tuple[ListedTarget, ...]] = VersionedState()
        self.targets_digest = NO_DIGEST
        self.view: VersionedState[View] = VersionedState()
        self.open_nodes: list[tuple[str, str]] = []
        self.open_digest = NO_DIGEST
        self.crashes = CrashTable()
        self.crash_digest = NO_DIGEST
        self.store_back_at_ms = -math.inf
        self.born_ms = now_ms()
        self._configured = asyncio.Event()
        self._listed = asyncio.Event()
        self._forms: dict[str, Forms] = {
            document: Forms()
            for document in ("configuration", "targets", "view", "open", "crashes")
        }
        self._needs_whole = False
        self._listeners: list[Callable[[], None]] = []

    def listen(self, changed: Callable[[], None]) -> None:
        """Call a function after each change of content or proof."""
        self._listeners.append(changed)

    def tell(self) -> None:
        """Tell the listeners that something was learnt."""
        for listener in self._listeners:
            listener()

    async def first_configuration(self) -> Configuration | None:
        """Return the configuration; wait a moment for the first one after the start."""
        await self._wait_for_first(self._configured)
        return self.configuration.content

    async def first_targets(self) -> None:
        """Wait a moment for the first list of targets after the start."""
        await self._wait_for_first(self._listed)

    async def _wait_for_first(self, known: asyncio.Event) -> None:
        left_ms = self.born_ms + FIRST_READ_MS - now_ms()
        if left_ms > 0 and not known.is_set():
            with suppress(TimeoutError):
                await asyncio.wait_for(known.wait(), left_ms / 1e3)

    def take_configuration(self, value: bytes, confirmed_at_ms: float) -> None:
        """Take a configuration as the platform holds it."""
        try:
            content = self._parse(value)
        except InvalidInputError as error:
            log_state_change(self._log, "configuration refused", findings=str(error))
            return
        if self.configuration.update(content, content.version, confirmed_at_ms):
            self._configured.set()
            self._forms["configuration"].update(content.version, value)
            log_state_change(
                self._log,
                "configuration in force",
                version=content.version,
                proof_age_ms=_whole(now_ms() - confirmed_at_ms),
            )

    def take_targets(
        self, listed: Sequence[ListedTarget], version: int, confirmed_at_ms: float
    ) -> None:
        """Take the list of targets as of a version of the store."""
        ordered = tuple(sorted(listed, key=lambda entry: entry.identity))
        form = _form(packed_targets(ordered))
        digest = digest_of(form)
        if version < self.targets.version:
            return
        self.targets.update(ordered, version, confirmed_at_ms)
        if digest != self.targets_digest:
            # Entries that were waited for after an outage go without a new version.
            self.targets.content = ordered
            self.targets_digest = digest
            self._listed.set()
            self._forms["targets"].update(digest, form)
            log_state_change(
                self._log,
                "targets changed",
                version=version,
                ready=sum(t.readiness is Readiness.READY for t in ordered),
                listed=len(ordered),
            )

    def take_view(self, view: View, confirmed_at_ms: float) -> None:
        """Take a view of the members."""
        if self.view.update(view, view.number, confirmed_at_ms):
            self._forms["view"].update(view.number, _form(packed_view(view)))
            log_state_change(
                self._log,
                "view in force",
                number=view.number,
                members=len(view.entries),
                fenced=[seat.node.host for seat in view.fenced],
            )

    def take_open_nodes(self, open_nodes: Sequence[tuple[str, str]]) -> None:
        """Take the list of nodes that callers may be sent to."""
        self.open_nodes = [(address, domain) for address, domain in open_nodes]
        form = _form(self.open_nodes)
        self.open_digest = digest_of(form)
        self._forms["open"].update(self.open_digest, form)

    def take_crashes(self, records: Sequence[CrashRecord]) -> list[CrashRecord]:
        """Take over what others know of crashes; return the records that changed."""
        changed = self.crashes.merge(records, wall_ms())
        if changed:
            self.renew_crash_form()
        return changed

    def renew_crash_form(self) -> None:
        """Note that what every host has to know of crashes may have changed."""
        shared = self.crashes.shared()
        form = _form([packed_record(record) for record in shared])
        self.crash_digest = digest_of(form) if shared else NO_DIGEST
        self._forms["crashes"].update(self.crash_digest, form)

    def take_state(self, state: State, asked_ms: float) -> bool:
        """Take a reader's answer; its ages count from when it was asked.

        Return False if a content could not be taken for want of the older form.
        """
        configuration = self._unpacked("configuration", state.configuration)
        if configuration is not None:
            self.take_configuration(
                configuration, asked_ms - state.configuration_age_ms
            )
        self.configuration.confirm(
            state.configuration_version, asked_ms - state.configuration_age_ms
        )
        targets = self._take_targets_state(state, asked_ms)
        view = self._unpacked("view", state.view)
        if view is not None:
            content = unpacked_view(msgpack.unpackb(view))
            self.take_view(content, asked_ms - state.view_age_ms)
        self.view.confirm(state.view_number, asked_ms - state.view_age_ms)
        open_nodes = self._unpacked("open", state.open_nodes)
        if open_nodes is not None:
            self.take_open_nodes(msgpack.unpackb(open_nodes))
        crashes = self._unpacked("crashes", state.crashes)
        if crashes is not None:
            records = msgpack.unpackb(crashes)
            self.take_crashes([unpacked_record(parts) for parts in records])
        if state.store_back_ms < NEVER_MS:
            back_at_ms = asked_ms - state.store_back_ms
            self.store_back_at_ms = max(self.store_back_at_ms, back_at_ms)
        self.tell()
        taken = all(
            packed is None or form is not None
            for packed, form in (
                (state.configuration, configuration),
                (state.targets, targets),
                (state.view, view),
                (state.open_nodes, open_nodes),
                (state.crashes, crashes),
            )
        )
        # Two forms may bear the same key: the store's text of a version that was
        # written twice. No update to the one fits the other, so that a node which went
        # on naming its key would never learn of another version.
        self._needs_whole = not taken
        return taken

    def held(self) -> Held:
        """Return what this node can take an update to."""
        return NOTHING_HELD if self._needs_whole else self.keys()

    def keys(self) -> Held:
        """Return the keys of what this node believes."""
        return Held(
            self.configuration.version,
            self.targets_digest,
            self.view.version,
            self.open_digest,
            self.crash_digest,
        )

    def _unpacked(self, document: str, packed: Packed | None) -> bytes | None:
        return None if packed is None else self._forms[document].unpacked(packed)

    def _take_targets_state(self, state: State, asked_ms: float) -> bytes | None:
        confirmed_at_ms = asked_ms - state.targets_age_ms
        form = self._unpacked("targets", state.targets)
        if form is not None:
            listed = unpacked_targets(msgpack.unpackb(form))
            self.take_targets(listed, state.targets_version, confirmed_at_ms)
        elif state.targets_digest == self.targets_digest:
            content = self.targets.content or ()
            self.targets.update(content, state.targets_version, confirmed_at_ms)
        return form

    def state_for(
        self, asker: Held, unknown: bool = False, reads: bool = False
    ) -> State:
        """Return what a node that holds these has to learn."""
        at_ms = now_ms()
        config, targets, view = self.configuration, self.targets, self.view
        newer = config.version > asker.configuration_version
        # A node that has just started holds nothing yet, and tells nothing.
        other_targets = self.targets_digest not in (asker.targets_digest, NO_DIGEST)
        other_crashes = self.crash_digest not in (asker.crash_digest, NO_DIGEST)
        other_open = self.open_digest not in (asker.open_digest, NO_DIGEST)
        return State(
            configuration_version=config.version,
            configuration_age_ms=_whole(config.age_ms(at_ms)),
            configuration=(
                self._packed("configuration", asker.configuration_version)
                if newer
                else None
            ),
            targets_version=targets.version,
            targets_digest=self.targets_digest,
            targets_age_ms=_whole(targets.age_ms(at_ms)),
            targets=(
                self._packed("targets", asker.targets_digest) if other_targets else None
            ),
            view_number=view.version,
            view_age_ms=_whole(view.age_ms(at_ms)),
            view=(
                self._packed("view", asker.view_number)
                if view.version > asker.view_number
                else None
            ),
            open_digest=self.open_digest,
            open_nodes=self._packed("open", asker.open_digest) if other_open else None,
            crash_digest=self.crash_digest,
            crashes=(
                self._packed("crashes", asker.crash_digest) if other_crashes else None
            ),
            store_back_ms=_whole(at_ms - self.store_back_at_ms),
            unknown=unknown,
            reads=reads,
        )

    def _packed(self, document: str, key: int) -> Packed:
        return self._forms[document].packed_for(key)


def _whole(age_ms: float) -> int:
    return int(min(age_ms + 1, NEVER_MS))


def _form(content: Any) -> bytes:
    form: bytes = msgpack.packb(content)
    return form


def packed_targets(listed: Sequence[ListedTarget]) -> list[Any]:
    """Return targets as plain lists."""
    return [
        [t.identity, t.service, t.address, t.domain, t.slots, t.readiness.value]
        for t in listed
    ]


def unpacked_targets(parts: Sequence[Sequence[Any]]) -> list[ListedTarget]:
    """Return the targets of `packed_targets`."""
    return [
        ListedTarget(
            TargetIdentity(identity),
            ServiceId(service),
            address,
            DomainId(domain),
            slots,
            Readiness(readiness),
        )
        for identity, service, address, domain, slots, readiness in parts
    ]


def packed_record(record: CrashRecord) -> list[Any]:
    """Return a record of crashes as plain lists."""
    return [
        record.content,
        record.generation,
        sorted([crash.target, crash.at_ms, crash.alone] for crash in record.crashes),
        record.trials,
        record.last_ms,
        record.was_shared,
    ]


def unpacked_record(parts: Sequence[Any]) -> CrashRecord:
    """Return the record of `packed_record`."""
    content, generation, crashes, trials, last_ms, was_shared = parts
    return CrashRecord(
        ContentDigest(content),
        generation,
        frozenset(
            Crash(TargetIdentity(target), at_ms, alone)
            for target, at_ms, alone in crashes
        ),
        trials,
        last_ms,
        was_shared,
    )


def packed_node(node: NodeAddress) -> tuple[Any, ...]:
    """Return a node as a plain tuple."""
    return astuple(node)


def unpacked_node(parts: Sequence[Any]) -> NodeAddress:
    """Return the node of `packed_node`."""
    host, incarnation, ip, port, domain, caller_address, capacity = parts
    return NodeAddress(
        HostId(host),
        Incarnation(incarnation),
        ip,
        port,
        DomainId(domain),
        caller_address,
        capacity,
    )


def packed_view(view: View) -> list[Any]:
    """Return a view as plain lists."""
    return [
        view.number,
        [[*packed_node(seat.node), seat.joined] for seat in view.entries],
        [[*packed_node(seat.node), seat.joined] for seat in view.fenced],
    ]


def unpacked_view(parts: Sequence[Any]) -> View:
    """Return the view of `packed_view`."""
    number, entries, fenced = parts
    return View(number, _seats(entries), _seats(fenced))


def _seats(parts: Sequence[Sequence[Any]]) -> tuple[ViewEntry, ...]:
    return tuple(ViewEntry(unpacked_node(part[:-1]), part[-1]) for part in parts)
