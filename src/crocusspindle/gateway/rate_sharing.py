"""Divide the rates of limited targets among the placers of a service."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Coroutine
from typing import Any

from crocusspindle.clock import now_ms
from crocusspindle.core.placer_contacts import CONTACT_INTERVAL_MS, PlacerContacts
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.gateway.exchange import Address, Exchange
from crocusspindle.gateway.messages import PacedNote
from crocusspindle.gateway.placer_ranks import PlacerRanks
from crocusspindle.ids import HostId, ServiceId
from crocusspindle.log_lines import Logger, log_state_change

Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]


class RateSharing:
    """Contact the other placers of a service while its targets are limited.

    A placer that responds also receives the reports of this node's requests, and this
    node those of its requests.
    """

    def __init__(
        self, host: HostId, ranks: PlacerRanks, exchange: Exchange, spawn: Spawn
    ) -> None:
        self._host = host
        self._ranks = ranks
        self._exchange = exchange
        self._spawn = spawn
        self._contacts: dict[ServiceId, PlacerContacts] = defaultdict(PlacerContacts)
        self._shares: dict[ServiceId, float] = {}
        self._log = Logger("placing")

    def record_request(self, service: ServiceId, placer: ServicePlacer) -> None:
        """Record a placement request, before it is placed."""
        if not self._contacts[service].record_request(now_ms()):
            return
        placers = self._ranks.placers(service)
        if placers and placers[0] != self._host:
            placer.limits.empty(now_ms())
        self.update(service, placer)

    def update(self, service: ServiceId, placer: ServicePlacer) -> None:
        """Contact the other placers if that is due, and apply this node's share."""
        if not placer.limits.are_active:
            return
        contacts = self._contacts[service]
        if contacts.contact_if_due(now_ms()):
            for host, to in self._ranks.others(service):
                self._spawn(self._contact(contacts, PacedNote(service, []), host, to))
        placers = self._ranks.placers(service)
        share = contacts.rate_share(self._host, placers, now_ms())
        placer.limits.set_share(share, now_ms())
        if self._shares.get(service, 1.0) != share:
            log_state_change(
                self._log,
                "target rates divided",
                service=service,
                share=round(share, 2),
            )
        self._shares[service] = share

    async def _contact(
        self, contacts: PlacerContacts, note: PacedNote, host: HostId, to: Address
    ) -> None:
        sent_ms = now_ms()
        silent_s = CONTACT_INTERVAL_MS / 1e3
        if await self._exchange.request(to, note, silent_s, silent_s) is not None:
            contacts.record_response(host, sent_ms)
