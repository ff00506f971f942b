"""Hold this node's copy of the fleet's state and notify services of changes."""

import asyncio
import math
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from contextlib import suppress
from typing import ClassVar, Final, NamedTuple

from crocusspindle.clock import now_ms, wall_ms
from crocusspindle.core.configuration import Configuration
from crocusspindle.core.crash_record import CrashRecord
from crocusspindle.core.crash_table import CrashTable
from crocusspindle.core.departed_targets import DepartedTargets
from crocusspindle.core.listed_target import ListedTarget, Readiness
from crocusspindle.core.store_version import NO_VERSION, UNKNOWN_ERA, StoreVersion
from crocusspindle.core.versioned_state import VersionedState
from crocusspindle.core.view import View
from crocusspindle.errors import InvalidInputError, MalformedError
from crocusspindle.gateway.document_deltas import Delta, DocumentEncodings
from crocusspindle.gateway.messages import State
from crocusspindle.gateway.packed_documents import (
    encode_document,
    packed_record,
    packed_steps,
    packed_targets,
    packed_view,
    unpacked_open_nodes,
    unpacked_records,
    unpacked_steps,
    unpacked_targets,
    unpacked_view,
)
from crocusspindle.ids import DomainId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.typed_values import as_sequence, as_whole, decode_msgpack

FIRST_READ_TIMEOUT_MS: Final = 1_000.0
"""How long after the start requests wait for the first configuration and the first list
of targets instead of being refused. The configuration is read within 0.1 to 0.3 s;
after this time the platform is unreachable, possibly for long."""

NO_DIGEST: Final = 0
"""Digest of a document that a node does not hold; no encoding has it."""

UNLOADED_DIGEST: Final = 1
"""Digest of the capacities left of a fleet without a loaded host, whatever its list of
open nodes is. In this usual state the digest takes one byte in each message."""

CAPACITY_VALID_MS: Final = 10_000.0
"""Time for which capacities left are used after a reader has confirmed them. A reader
of a version without them never replaces them; a new reader confirms within seconds."""

UNCONFIRMED_AGE_MS: Final = 1e9
"""Age reported for state that has never been confirmed."""


def encoding_digest(encoding: bytes) -> int:
    """Return a digest of an encoded document, for comparison between nodes."""
    return zlib.crc32(encoding) or 1


class HeldKeys(NamedTuple):
    """Identify the encodings to which a node can apply a delta."""

    configuration_version: int
    targets_digest: int
    view_number: int
    open_digest: int
    crash_digest: int


NOTHING_HELD: Final = HeldKeys(-1, NO_DIGEST, -1, NO_DIGEST, NO_DIGEST)


class FleetState(Service):
    """Hold configuration, targets, view, evacuations, open nodes and crash records.

    All but the open nodes and the crash records carry the time of their last
    confirmation. The version of the evacuated failure domains is the store's newest
    one when they were read.
    ``store_era`` is the newest era of the store that this node has heard of, and
    ``era_began_ms`` when it learned of it, if it knew another one before.
    ``stale_responses`` counts those of the store that were dropped, and
    ``rejected_rows`` the rows that this node has read and can't use.
    ``ended_evacuations`` has the era in which the evacuation of a domain ended.
    ``capacity_left`` has the eighths of capacity left by caller address, for the open
    nodes that have less than `LEFT_MAX`.
    Registered in the kernel as ``knowledge``.
    """

    name: ClassVar[str] = "knowledge"

    def __init__(self, parse: Callable[[bytes], Configuration]) -> None:
        self._parse = parse
        self._log = Logger("knowledge")
        self.store_era = UNKNOWN_ERA
        self.era_began_ms = -math.inf
        self.stale_responses = 0
        self.rejected_rows = 0
        self.configuration: VersionedState[Configuration, int] = VersionedState(-1)
        self.targets: VersionedState[tuple[ListedTarget, ...], StoreVersion] = (
            VersionedState(NO_VERSION)
        )
        self.departed_targets = DepartedTargets()
        self.targets_digest = NO_DIGEST
        self.view: VersionedState[View, int] = VersionedState(-1)
        self.evacuated: VersionedState[frozenset[DomainId], StoreVersion] = (
            VersionedState(NO_VERSION)
        )
        self.ended_evacuations: dict[DomainId, int] = {}
        self.open_nodes: list[tuple[str, str]] = []
        self.open_digest = NO_DIGEST
        self.capacity_left: dict[str, int] = {}
        self.capacity_digest = NO_DIGEST
        self._packed_capacity = b""
        self._capacity_confirmed_at_ms = -math.inf
        self.crashes = CrashTable()
        self.crash_digest = NO_DIGEST
        self.store_regained_at_ms = -math.inf
        self.started_ms = now_ms()
        self._configured = asyncio.Event()
        self._listed = asyncio.Event()
        self._encodings: dict[str, DocumentEncodings] = {
            document: DocumentEncodings()
            for document in ("configuration", "targets", "view", "open", "crashes")
        }
        self._needs_full_documents = False
        self._listeners: list[Callable[[], None]] = []
        self.on_restored: Callable[[], None] = _ignore

    def advance_era(self, era: int) -> None:
        """Apply the store's era; a newer one than known shows that it was restored.

        All that this node knows stays in force until it is read again.
        """
        if era <= self.store_era:
            return
        previous, self.store_era = self.store_era, era
        if previous == UNKNOWN_ERA:
            return
        self.era_began_ms = now_ms()
        # Entries that the copy lacks are written again, as after an outage.
        self.store_regained_at_ms = self.era_began_ms
        log_state_change(
            self._log,
            "store restored",
            previous=previous,
            era=era,
            targets_version=self.targets.version,
            configuration_version=self.configuration.version,
            view=self.view.version,
        )
        self.on_restored()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function for `notify` to call."""
        self._listeners.append(listener)

    def notify(self) -> None:
        """Notify the listeners that the state may have changed."""
        for listener in self._listeners:
            listener()

    async def first_configuration(self) -> Configuration | None:
        """Return the configuration; wait for the first one just after the start."""
        await self._wait_for_first(self._configured)
        return self.configuration.content

    async def wait_for_first_targets(self) -> None:
        """Wait for the first list of targets just after the start."""
        await self._wait_for_first(self._listed)

    async def _wait_for_first(self, available: asyncio.Event) -> None:
        left_ms = self.started_ms + FIRST_READ_TIMEOUT_MS - now_ms()
        if left_ms > 0 and not available.is_set():
            with suppress(TimeoutError):
                await asyncio.wait_for(available.wait(), left_ms / 1e3)

    def update_configuration(self, value: bytes, confirmed_at_ms: float) -> bool:
        """Apply a configuration document of the platform, unless it is invalid.

        Return True if it was valid, whether or not it is newer than the one in force.
        """
        try:
            content = self._parse(value)
        except InvalidInputError as error:
            log_state_change(self._log, "configuration refused", findings=str(error))
            return False
        if self.configuration.update(content, content.version, confirmed_at_ms):
            self._configured.set()
            self._encodings["configuration"].update(content.version, value)
            log_state_change(
                self._log,
                "configuration in force",
                version=content.version,
                proof_age_ms=_age_field_ms(now_ms() - confirmed_at_ms),
            )
        return True

    def update_targets(
        self,
        listed: Sequence[ListedTarget],
        version: StoreVersion,
        confirmed_at_ms: float,
    ) -> None:
        """Apply the list of targets as of a version of the store."""
        ordered = tuple(sorted(listed, key=lambda entry: entry.identity))
        encoding = encode_document(packed_targets(ordered))
        digest = encoding_digest(encoding)
        if version < self.targets.version:
            return
        previous = self.targets.content or ()
        self.targets.update(ordered, version, confirmed_at_ms)
        if digest != self.targets_digest:
            self.departed_targets.update(previous, ordered, version.era, now_ms())
            # Entries kept after an outage expire without a new version of the store.
            self.targets.content = ordered
            self.targets_digest = digest
            self._listed.set()
            self._encodings["targets"].update(digest, encoding)
            log_state_change(
                self._log,
                "targets changed",
                version=version,
                ready=sum(t.readiness is Readiness.READY for t in ordered),
                listed=len(ordered),
            )

    def update_view(self, view: View, confirmed_at_ms: float) -> None:
        """Apply a view of the members if it is newer."""
        if self.view.update(view, view.number, confirmed_at_ms):
            self._encodings["view"].update(
                view.number, encode_document(packed_view(view))
            )
            log_state_change(
                self._log,
                "view in force",
                number=view.number,
                members=len(view.entries),
                fenced=[entry.node.host for entry in view.fenced],
            )

    def update_evacuated(
        self,
        domains: Iterable[DomainId],
        version: StoreVersion,
        confirmed_at_ms: float,
    ) -> None:
        """Apply the failure domains whose targets must get no new work."""
        previous = self.evacuated.content or frozenset()
        evacuated = frozenset(domains)
        if version < self.evacuated.version:
            return
        self.evacuated.update(evacuated, version, confirmed_at_ms)
        # Domains kept after a restore are dropped without a new version of the store.
        self.evacuated.content = evacuated
        ended = dict.fromkeys(previous - evacuated, version.era)
        self.ended_evacuations = {
            domain: era
            for domain, era in (self.ended_evacuations | ended).items()
            if domain not in evacuated
        }
        if evacuated != previous:
            log_state_change(
                self._log,
                "evacuation changed",
                version=version,
                domains=sorted(evacuated),
                proof_age_ms=_age_field_ms(now_ms() - confirmed_at_ms),
            )

    def update_open_nodes(self, open_nodes: Sequence[tuple[str, str]]) -> None:
        """Apply the list of nodes that accept new callers."""
        self.open_nodes = [(address, domain) for address, domain in open_nodes]
        encoding = encode_document(self.open_nodes)
        self.open_digest = encoding_digest(encoding)
        self._encodings["open"].update(self.open_digest, encoding)
        if self.capacity_digest != NO_DIGEST:
            self._pack_capacity_left(self.capacity_left)

    def update_capacity_left(self, left: Mapping[str, int]) -> None:
        """Apply the capacities left that this node has derived as the reader."""
        if left != self.capacity_left or self.capacity_digest == NO_DIGEST:
            self._pack_capacity_left(left)
        self._capacity_confirmed_at_ms = now_ms()

    def confirmed_capacity_left(self) -> Mapping[str, int]:
        """Return the capacities left; none if no reader has confirmed them recently."""
        age_ms = now_ms() - self._capacity_confirmed_at_ms
        return self.capacity_left if age_ms < CAPACITY_VALID_MS else {}

    def _pack_capacity_left(self, left: Mapping[str, int]) -> None:
        addresses = [address for address, _ in self.open_nodes]
        packed = packed_steps(addresses, left)
        self.capacity_left = unpacked_steps(addresses, packed)
        self._packed_capacity = packed
        # The steps are in the order of the list, so they are those of one list only.
        digest = zlib.crc32(packed, self.open_digest)
        self.capacity_digest = (
            max(digest, UNLOADED_DIGEST + 1) if packed else UNLOADED_DIGEST
        )

    def merge_crashes(self, records: Sequence[CrashRecord]) -> list[CrashRecord]:
        """Merge crash records of other nodes; return the records that changed."""
        changed = self.crashes.merge(records, wall_ms())
        if changed:
            self.refresh_crash_encoding()
        return changed

    def refresh_crash_encoding(self) -> None:
        """Encode the shared crash records again after a possible change."""
        shared = self.crashes.shared()
        encoding = encode_document([packed_record(record) for record in shared])
        self.crash_digest = encoding_digest(encoding) if shared else NO_DIGEST
        self._encodings["crashes"].update(self.crash_digest, encoding)

    def apply_state(self, state: State, sent_ms: float) -> bool:
        """Apply a peer's state; its ages count from ``sent_ms`` of the request.

        Return False if a delta could not be applied because its base is not held, or
        differs here. With a ``sent_ms`` of minus infinity the state confirms nothing.
        Raise ``MalformedError`` if it holds a document that can't be read.
        """
        self.advance_era(state.store_era)
        # Before the configuration, with which a node that has just started begins to
        # serve.
        self.update_evacuated(
            list(map(_as_domain, state.evacuated)),
            _store_version(state.evacuated_version),
            sent_ms - state.configuration_age_ms,
        )
        configuration = self._apply_delta("configuration", state.configuration)
        if configuration is not None:
            self.update_configuration(
                configuration, sent_ms - state.configuration_age_ms
            )
        self.configuration.confirm(
            state.configuration_version, sent_ms - state.configuration_age_ms
        )
        targets = self._apply_targets(state, sent_ms)
        view = self._apply_delta("view", state.view)
        if view is not None:
            content = unpacked_view(decode_msgpack(view))
            self.update_view(content, sent_ms - state.view_age_ms)
        self.view.confirm(state.view_number, sent_ms - state.view_age_ms)
        open_nodes = self._apply_delta("open", state.open_nodes)
        if open_nodes is not None:
            self.update_open_nodes(unpacked_open_nodes(decode_msgpack(open_nodes)))
        self._apply_capacity_left(state)
        crashes = self._apply_delta("crashes", state.crashes)
        if crashes is not None:
            self.merge_crashes(unpacked_records(decode_msgpack(crashes)))
        if state.store_regained_age_ms < UNCONFIRMED_AGE_MS:
            regained_at_ms = sent_ms - state.store_regained_age_ms
            self.store_regained_at_ms = max(self.store_regained_at_ms, regained_at_ms)
        self.notify()
        applied = all(
            delta is None or encoding is not None
            for delta, encoding in (
                (state.configuration, configuration),
                (state.targets, targets),
                (state.view, view),
                (state.open_nodes, open_nodes),
                (state.crashes, crashes),
            )
        )
        # A version that was written twice has two encodings under one key. Deltas to
        # one never apply to the other, so request full documents until they arrive.
        self._needs_full_documents = not applied
        return applied

    def held_keys(self) -> HeldKeys:
        """Return the keys of the encodings to which this node can apply a delta."""
        return NOTHING_HELD if self._needs_full_documents else self.current_keys()

    def current_keys(self) -> HeldKeys:
        """Return the keys of the state that this node holds."""
        return HeldKeys(
            self.configuration.version,
            self.targets_digest,
            self.view.version,
            self.open_digest,
            self.crash_digest,
        )

    def _apply_delta(self, document: str, delta: Delta | None) -> bytes | None:
        return None if delta is None else self._encodings[document].apply_delta(delta)

    def _apply_targets(self, state: State, sent_ms: float) -> bytes | None:
        confirmed_at_ms = sent_ms - state.targets_age_ms
        version = _store_version(state.targets_version)
        encoding = self._apply_delta("targets", state.targets)
        if encoding is not None:
            listed = unpacked_targets(decode_msgpack(encoding))
            self.update_targets(listed, version, confirmed_at_ms)
        elif state.targets_digest == self.targets_digest:
            content = self.targets.content or ()
            self.targets.update(content, version, confirmed_at_ms)
        return encoding

    def _apply_capacity_left(self, state: State) -> None:
        if state.capacity_digest == NO_DIGEST:
            return
        if state.capacity_left is not None and state.open_digest == self.open_digest:
            addresses = [address for address, _ in self.open_nodes]
            self._pack_capacity_left(unpacked_steps(addresses, state.capacity_left))
        if state.capacity_digest == self.capacity_digest:
            self._capacity_confirmed_at_ms = now_ms()

    def state_for(
        self,
        held: HeldKeys,
        sender_unknown: bool = False,
        reaches_store: bool = False,
        held_capacity_digest: int | None = None,
    ) -> State:
        """Return the state, with documents that differ from those a peer holds.

        Capacities left are included only if ``held_capacity_digest`` is given: they are
        sent to nodes that ping this one, and not pushed.
        """
        at_ms = now_ms()
        config, targets, view = self.configuration, self.targets, self.view
        newer = config.version > held.configuration_version
        # A node that has just started holds nothing yet and must send no empty list.
        targets_differ = self.targets_digest not in (held.targets_digest, NO_DIGEST)
        crashes_differ = self.crash_digest not in (held.crash_digest, NO_DIGEST)
        open_differs = self.open_digest not in (held.open_digest, NO_DIGEST)
        capacity_digest = (
            NO_DIGEST if held_capacity_digest is None else self.capacity_digest
        )
        capacity_differs = capacity_digest not in (held_capacity_digest, NO_DIGEST)
        return State(
            configuration_version=config.version,
            configuration_age_ms=_age_field_ms(config.age_ms(at_ms)),
            configuration=(
                self._delta_for("configuration", held.configuration_version)
                if newer
                else None
            ),
            targets_version=targets.version,
            targets_digest=self.targets_digest,
            targets_age_ms=_age_field_ms(targets.age_ms(at_ms)),
            targets=(
                self._delta_for("targets", held.targets_digest)
                if targets_differ
                else None
            ),
            view_number=view.version,
            view_age_ms=_age_field_ms(view.age_ms(at_ms)),
            view=(
                self._delta_for("view", held.view_number)
                if view.version > held.view_number
                else None
            ),
            open_digest=self.open_digest,
            open_nodes=self._delta_for("open", held.open_digest)
            if open_differs
            else None,
            crash_digest=self.crash_digest,
            crashes=(
                self._delta_for("crashes", held.crash_digest)
                if crashes_differ
                else None
            ),
            store_regained_age_ms=_age_field_ms(at_ms - self.store_regained_at_ms),
            sender_unknown=sender_unknown,
            reaches_store=reaches_store,
            evacuated_version=self.evacuated.version,
            evacuated=sorted(self.evacuated.content or ()),
            store_era=self.store_era,
            capacity_digest=capacity_digest,
            capacity_left=self._packed_capacity if capacity_differs else None,
        )

    def _delta_for(self, document: str, key: int) -> Delta:
        return self._encodings[document].delta_for(key)


def _ignore() -> None:
    """Ignore a restore of the store; the default."""


def _store_version(parts: Sequence[int]) -> StoreVersion:
    era, number = as_sequence(parts, 2)
    return StoreVersion(as_whole(era, NO_VERSION.era), as_whole(number, -1))


def _as_domain(value: str) -> DomainId:
    if not isinstance(value, str):
        raise MalformedError(f"{value!r} is no failure domain")
    return DomainId(value)


def _age_field_ms(age_ms: float) -> int:
    return int(min(age_ms + 1, UNCONFIRMED_AGE_MS))
