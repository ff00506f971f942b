"""Keep the shares that this member holds, through views and tickets."""

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.bucket import ShareBucket
from crocusspindle.core.holders import Placement, ViewMember, holder_count
from crocusspindle.core.loans import MAX_GRACE_MS
from crocusspindle.core.model import Customer
from crocusspindle.core.placements import Placements
from crocusspindle.ids import CustomerId, MemberId, ViewNumber

MAX_REMOVED: Final = 4_096
"""Removed customers remembered for the one lease for which it matters."""

VIEWS_KEPT: Final = 16
"""Views by which a share first used now is shown to have been held before.

At the size to design for a view lasts about four seconds, so the views reach back
a minute; a share never used since is taken as empty at the oldest of them.
"""


@dataclass(frozen=True, slots=True)
class ShareSettings:
    """Set the lease of a holder and the drift allowed between two clocks.

    A kernel slews its monotonic clock by at most 500 parts in a million.
    """

    lease_ms: float = 3_000.0
    drift: float = 0.0005

    @property
    def wait_ms(self) -> float:
        """Return how long a former holder and its loans may still be spending."""
        return (self.lease_ms + MAX_GRACE_MS) * (1 + self.drift)


@dataclass(slots=True)
class _View:
    number: ViewNumber
    members: tuple[ViewMember, ...]
    placement: Placement
    opens_at_ms: float = float("inf")


@dataclass(slots=True)
class HeldShare:
    """Hold one share: since which view, and among how many holders."""

    bucket: ShareBucket
    since: ViewNumber
    opens_at_ms: float
    count: int


class HeldShares:
    """Know the holders of each customer, and open and resize own shares.

    ``limit_of`` looks a customer up where all are kept; without it the limits given
    to `set_limit` are kept here.
    """

    def __init__(
        self,
        settings: ShareSettings,
        me: MemberId,
        limit_of: Callable[[CustomerId], Customer | None] | None = None,
    ) -> None:
        self._settings = settings
        self._me = me
        self._limits: dict[CustomerId, Customer] = {}
        self.limit_of = limit_of or self._limits.get
        self._keeps_limits = limit_of is None
        self._removed_ms: OrderedDict[CustomerId, float] = OrderedDict()
        self._forgot_removed_ms = -float("inf")
        self._views: deque[_View] = deque(maxlen=VIEWS_KEPT)
        self._placements = Placements()
        self._held: dict[CustomerId, HeldShare] = {}

    @property
    def view_number(self) -> ViewNumber | None:
        """Return the newest view, if there is one."""
        return self._views[-1].number if self._views else None

    def shares(self) -> dict[CustomerId, HeldShare]:
        """Return the shares in use."""
        return self._held

    def set_limit(
        self,
        customer: Customer,
        now_ms: float,
        former: Customer | None = None,
        is_new: bool = False,
    ) -> None:
        """Apply a ticket's rate and burst.

        ``former`` is what was in force before. A customer that was never known
        (``is_new``) has no former holder to wait for, so that its first requests are
        not refused. With neither, the share opens empty one lease from now.
        """
        name = customer.customer
        if self._keeps_limits:
            former = self._limits.get(name)
            is_new = former is None
            self._limits[name] = customer
        if former is not None and name not in self._held:
            self.open_bucket(former, now_ms)
        self._placements.forget(name)
        holders = self.holders(customer)
        held = self._held.get(name)
        if self._me not in holders:
            self._held.pop(name, None)
            return
        if held is None:
            may_open = is_new and not self._was_removed(name, now_ms)
            self._open_after_ticket(customer, len(holders), may_open, now_ms)
            return
        self._resize(held, customer, len(holders), now_ms)

    def _resize(
        self, held: HeldShare, limit: Customer, count: int, now_ms: float
    ) -> None:
        """Lower a share at once; let a larger one wait for holders it replaces."""
        raise_at_ms = held.bucket.raise_at_ms or now_ms
        if held.count != count:
            raise_at_ms = now_ms + self._settings.wait_ms
        held.count = count
        cap, rate_per_ms = self.share(limit, count)
        held.bucket.resize(cap, rate_per_ms, now_ms, raise_at_ms)

    def remove_limit(self, customer: CustomerId, now_ms: float) -> None:
        """Apply a ticket that removes a customer."""
        self._limits.pop(customer, None)
        self._placements.forget(customer)
        self._held.pop(customer, None)
        self._removed_ms[customer] = now_ms
        self._removed_ms.move_to_end(customer)
        if len(self._removed_ms) > MAX_REMOVED:
            _, self._forgot_removed_ms = self._removed_ms.popitem(last=False)

    def _was_removed(self, customer: CustomerId, now_ms: float) -> bool:
        """Return True if a holder of the removed customer may still be spending.

        A customer removed and put again within one lease would else start with a
        full bucket beside the old one, on a node that has not read either ticket.
        """
        removed_ms = self._removed_ms.get(customer, self._forgot_removed_ms)
        return now_ms < removed_ms + self._settings.wait_ms

    def _open_after_ticket(
        self, customer: Customer, count: int, may_open: bool, now_ms: float
    ) -> None:
        view = self._views[-1]
        opens_at_ms = max(view.opens_at_ms, now_ms)
        if not may_open:
            opens_at_ms = max(view.opens_at_ms, now_ms + self._settings.wait_ms)
        cap, rate_per_ms = self.share(customer, count)
        tokens = cap if may_open and opens_at_ms <= now_ms else 0.0
        bucket = ShareBucket(cap, rate_per_ms, opens_at_ms, tokens)
        held = HeldShare(bucket, view.number, opens_at_ms, count)
        self._held[customer.customer] = held

    def set_view(
        self, view_number: ViewNumber, members: Sequence[ViewMember], now_ms: float
    ) -> None:
        """Take the next member view; an older one is ignored.

        A view that was skipped may have given a share to another member and a later
        one given it back. That member may be open and not yet have read that it
        lost the share, so after a gap every share starts anew, empty.
        """
        if self._views and view_number <= self._views[-1].number:
            return
        if self._views and view_number != self._views[-1].number + 1:
            self._views.clear()
            self._held.clear()
        self._install(_View(view_number, tuple(members), Placement(members)))
        for name, held in list(self._held.items()):
            self._keep(name, held, now_ms)

    def gone(self, member: MemberId, now_ms: float) -> None:
        """Let the next in order take over from a member until the next view.

        Made for a holder lost while the platform is away and the view frozen: a
        customer with one holder would starve until the platform is back. To be
        called on evidence that the member cannot be fit before the next view: a
        majority of the view has promised not to echo it until then. That is proof
        only where a holder also needs those echoes to count as fit by a stamp, and
        where a member that was unfit calls `lapse` before it spends again.
        """
        if not self._views:
            return
        view = self._views[-1]
        kept = tuple(each for each in view.members if each.member != member)
        if len(kept) == len(view.members):
            return
        opens_at_ms = max(view.opens_at_ms, now_ms + self._settings.wait_ms)
        self._install(_View(view.number, kept, Placement(kept), opens_at_ms))
        for name, held in list(self._held.items()):
            self._keep(name, held, now_ms)

    def lapse(self, now_ms: float) -> None:
        """Start every share anew, as after a time of not being fit.

        Another member may have taken over meanwhile and not know yet that it ended.
        """
        self._held.clear()
        if self._views:
            view = self._views[-1]
            if view.opens_at_ms < float("inf"):
                view.opens_at_ms = now_ms + self._settings.wait_ms
            self._views.clear()
            self._views.append(view)

    def _install(self, view: _View) -> None:
        self._views.append(view)
        self._placements.install(view.members, view.placement)

    def _keep(self, name: CustomerId, held: HeldShare, now_ms: float) -> None:
        limit = self.limit_of(name)
        holders = self.holders(limit) if limit else ()
        if limit is None or self._me not in holders:
            del self._held[name]
        elif held.count != len(holders):
            self._resize(held, limit, len(holders), now_ms)

    def activate(self, view_number: ViewNumber, now_ms: float) -> None:
        """Note that no former holder can renew its fitness any more.

        To be called when, of each earlier view by which some member might still be
        fit, a majority has been seen at this view or a later one. The wait starts
        here rather than at `set_view`: a former holder may have had its last answer
        from that majority just before it moved on, and is fit for a lease from then.
        """
        opens_at_ms = now_ms + self._settings.wait_ms
        for view in self._views:
            if view.number <= view_number and view.opens_at_ms == float("inf"):
                view.opens_at_ms = opens_at_ms
        for held in self._held.values():
            if held.since <= view_number and held.opens_at_ms == float("inf"):
                held.opens_at_ms = opens_at_ms
                held.bucket.open_at(opens_at_ms)

    def share(self, limit: Customer, count: int) -> tuple[float, float]:
        """Return one share's part of the burst and its refill per millisecond."""
        rate_per_ms = limit.rate_per_s / 1000.0 * (1 - self._settings.drift)
        return limit.burst / count, rate_per_ms / count

    def holders(self, limit: Customer) -> tuple[MemberId, ...]:
        """Return the holders of a customer in the newest view."""
        return self._placements.holders(limit) if self._views else ()

    def _holders_in(self, view: _View, limit: Customer) -> tuple[MemberId, ...]:
        count = holder_count(limit.rate_per_s, limit.burst)
        return view.placement.holders(limit.customer, count)

    def open_bucket(self, limit: Customer, now_ms: float) -> ShareBucket | None:
        """Return the bucket of a share that this member may spend from.

        A share that is not open yet counts as none: its former holder may still be
        spending, so tokens borrowed meanwhile must not wait in it.
        """
        held = self._held.get(limit.customer)
        if held is None:
            holders = self.holders(limit)
            if self._me not in holders:
                return None
            held = self._first_use(limit, len(holders))
            self._held[limit.customer] = held
        return held.bucket if now_ms >= held.opens_at_ms else None

    def _first_use(self, limit: Customer, count: int) -> HeldShare:
        """Open a share that has been held for some views without a request."""
        since = self._views[-1]
        for view in reversed(self._views):
            if self._me not in (found := self._holders_in(view, limit)):
                break
            if len(found) != count:
                break
            since = view
        cap, rate_per_ms = self.share(limit, count)
        bucket = ShareBucket(cap, rate_per_ms, since.opens_at_ms)
        return HeldShare(bucket, since.number, since.opens_at_ms, count)
