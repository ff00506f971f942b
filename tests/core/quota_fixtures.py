"""Create keepers, views and a customer for the quota tests."""

import math
import random

from crocusspindle.core.configuration import CustomerRule
from crocusspindle.core.quota_keeper import QuotaKeeper
from crocusspindle.core.spend_result import Admitted
from crocusspindle.core.view import NodeAddress, View, next_view
from crocusspindle.ids import CustomerId, DomainId, HostId, Incarnation

FENCE_MS = 3_000.0
WINDOW_MS = 5_000.0
CLUB = CustomerId("club")
RULE = CustomerRule(CLUB, rate_per_s=10.0, burst=5.0)


def node(host: str, incarnation: str = "1") -> NodeAddress:
    return NodeAddress(
        HostId(host),
        Incarnation(f"{host}-{incarnation}"),
        "127.0.0.1",
        1,
        DomainId("a"),
        "127.0.0.1:2",
    )


def present(*names: str) -> dict[HostId, NodeAddress]:
    return {HostId(name): node(name) for name in names}


def new_keeper(owner: NodeAddress, began_ms: float = math.inf) -> QuotaKeeper:
    created = QuotaKeeper(
        owner.host,
        owner.incarnation,
        FENCE_MS,
        WINDOW_MS,
        random.Random(1),
        began_ms,
    )
    created.set_rules({CLUB: RULE})
    return created


def keeper(name: str, view: View, now_ms: float) -> QuotaKeeper:
    entry = view.by_host.get(HostId(name))
    created = new_keeper(entry.node if entry else node(name))
    created.set_view(view, now_ms, now_ms)
    return created


def by_rank(*names: str) -> list[str]:
    return [str(host) for host in next_view(None, present(*names)).ranked(CLUB)]


def admitted(owner: QuotaKeeper, now_ms: float, requests: int) -> int:
    results = [owner.spend(CLUB, 0.0, now_ms) for _ in range(requests)]
    return sum(isinstance(result, Admitted) for result in results)
