"""Write the view of the members, on the node that reads for the others."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

from crocusspindle.clock import now_ms
from crocusspindle.core.reader_choice import READER_ROLE
from crocusspindle.core.view import (
    NodeAddress,
    View,
    ViewEntryKey,
    members_changed,
    next_view,
    rank_by_capacity,
)
from crocusspindle.gateway.exchange import Exchange
from crocusspindle.gateway.knowledge import Knowledge
from crocusspindle.gateway.messages import Done, Probe
from crocusspindle.gateway.reading import Reading
from crocusspindle.ids import HostId

SETTLE_MS: Final = 250.0
"""Before it adds members, a new reader lets those that start with it find it. Until the
view names their new processes, no customer of theirs has a keeper."""

REMOVE_AFTER_MS: Final = 2_500.0
"""A new reader waits until everyone has found it before it takes anyone for gone."""

REMOVE_MOST_AFTER_MS: Final = 10_000.0
OLD_PROOF_MS: Final = 2_000.0
"""A reader whose proofs are older has lost the store; another one may have it, and the
view may have been replaced."""

PEER_SILENT_S: Final = 0.3
"""A peer answers within 3 ms; seven sendings that all get lost hardly happen. What it
has just told to hundreds of others may fill a narrow link for a part of this."""

PEER_LIMIT_S: Final = 1.0
"""An answer with whole lists may take this long on a narrow link. A peer whose link is
that far behind says meanwhile that it is at work."""

Present = Mapping[HostId, NodeAddress]


class ViewKeeper:
    """Renew the view from who is present, if that falls to this node."""

    def __init__(
        self,
        node: NodeAddress,
        exchange: Exchange,
        knowledge: Knowledge,
        reading: Reading,
        expired_keys: Callable[[], set[ViewEntryKey]],
    ) -> None:
        self._node = node
        self._exchange = exchange
        self._knowledge = knowledge
        self._reading = reading
        self._over = expired_keys
        self._number_seen = -1
        self._seen_ms = now_ms()

    def note_view(self) -> None:
        """Note when the view last changed."""
        if self._knowledge.view.version != self._number_seen:
            self._number_seen = self._knowledge.view.version
            self._seen_ms = now_ms()

    async def renew(self, heard: Present) -> None:
        """Write a view of those that are there, given who was heard lately."""
        age_ms = now_ms() - self._reading.since_ms
        belief = self._knowledge.view
        if age_ms < SETTLE_MS or belief.age_ms(now_ms()) > OLD_PROOF_MS:
            return
        present = {**self._newcomers(), **heard}
        view = belief.content
        if not self._is_writer(view, present):
            return
        if view is not None:
            silent: Present = {
                h: s.node for h, s in view.by_host.items() if h not in present
            }
            if self._hears_few(view, present, age_ms):
                present = {h: n for h, n in present.items() if h in view.by_host}
            else:
                silent = await self._living(silent, age_ms)
            present = {**silent, **present}
        if not members_changed(view, present):
            return
        if await self._reading.write_view(next_view(view, present, self._over())):
            self._knowledge.tell()

    def _newcomers(self) -> dict[HostId, NodeAddress]:
        # They have written their rows since the view was, so nobody has heard of them
        # yet. Named one by one as they ask, the start of a fleet would take as many
        # views as it has stragglers, each told to all.
        written = self._reading.view_row_version
        return {
            host: node
            for host, node in self._reading.nodes.items()
            if self._reading.row_versions[host] > written
        }

    def _is_writer(self, view: View | None, present: Present) -> bool:
        # A host that the view does not name is no reader to anyone yet. If one that
        # starts or comes back ranked first, and the others left the view to it, nobody
        # would ever write: the view would name processes that are gone, and their
        # customers would have no keeper.
        named = present.keys() if view is None else view.by_host.keys()
        eligible = [node for host, node in present.items() if host in named]
        ranked = rank_by_capacity(READER_ROLE, eligible or present.values())
        return bool(ranked) and ranked[0] == self._node.host

    def _hears_few(self, view: View, present: Present, age_ms: float) -> bool:
        # A node cut off from its peers hears nobody and would take all for gone,
        # while the reader whom they ask puts them back: views would change without
        # end, and no customer would keep its keeper. So would they if each of many
        # nodes that read for themselves put itself back. Whoever hears less than half
        # waits long enough for the others' reader to show itself. Until then it names
        # the new processes of members: of a fleet that comes back, some come first.
        if 2 * len(present) > len(view.entries):
            return False
        quiet_ms = now_ms() - self._seen_ms
        return min(age_ms, quiet_ms) < REMOVE_MOST_AFTER_MS

    async def _living(self, silent: Present, age_ms: float) -> Present:
        """Return the members that were not heard and are there all the same."""
        if age_ms < REMOVE_AFTER_MS:
            return silent
        # Members may ask another reader for a while. Put out for that, they would
        # hand their duties over for nothing, and over again when they are back.
        answers = await asyncio.gather(*(self._probe(n) for n in silent.values()))
        return {
            host: node
            for (host, node), lives in zip(silent.items(), answers, strict=True)
            if lives
        }

    async def _probe(self, node: NodeAddress) -> bool:
        to = (node.ip, node.peer_port)
        answer = await self._exchange.ask(
            to, Probe(node.incarnation), PEER_SILENT_S, PEER_LIMIT_S
        )
        return isinstance(answer, Done)
