"""Keep the shares held by this member up to date with views and tickets."""

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.bucket import ShareBucket
from crocusspindle.core.holder_cache import HolderCache
from crocusspindle.core.holders import HolderCandidate, HolderSelector, holder_count
from crocusspindle.core.loans import MAX_GRACE_MS
from crocusspindle.core.model import Customer
from crocusspindle.ids import CustomerId, MemberId, ViewNumber

MAX_REMOVED_CUSTOMERS: Final = 4_096
"""Removed customers that are remembered; each matters for one lease only."""

MAX_KEPT_VIEWS: Final = 16
"""Views kept to determine since when a share that is used for the first time was held.

At the design size a view lasts about four seconds, so these views cover a minute; a
share never used during them is considered empty at the oldest one.
"""


@dataclass(frozen=True, slots=True)
class ShareSettings:
    """Set the lease of a holder and the permitted drift between two clocks.

    A kernel slews its monotonic clock by at most 500 parts per million.
    """

    lease_ms: float = 3_000.0
    drift: float = 0.0005

    @property
    def wait_ms(self) -> float:
        """Return how long a previous holder, or a borrower from it, may still spend."""
        return (self.lease_ms + MAX_GRACE_MS) * (1 + self.drift)


@dataclass(slots=True)
class _View:
    number: ViewNumber
    members: tuple[HolderCandidate, ...]
    selector: HolderSelector
    opens_at_ms: float = float("inf")


@dataclass(slots=True)
class LocalShare:
    """Hold one share, the view since which it is held, and the number of holders."""

    bucket: ShareBucket
    since_view: ViewNumber
    opens_at_ms: float
    count: int


class LocalShares:
    """Determine the holders of each customer, and open and resize own shares.

    ``limit_of`` looks a customer up in the directory; without it the limits passed to
    `set_limit` are kept here.
    """

    def __init__(
        self,
        settings: ShareSettings,
        own_member: MemberId,
        limit_of: Callable[[CustomerId], Customer | None] | None = None,
    ) -> None:
        self._settings = settings
        self._own_member = own_member
        self._limits: dict[CustomerId, Customer] = {}
        self.limit_of = limit_of or self._limits.get
        self._keeps_limits = limit_of is None
        self._removed_ms: OrderedDict[CustomerId, float] = OrderedDict()
        self._forgotten_removed_ms = -float("inf")
        self._views: deque[_View] = deque(maxlen=MAX_KEPT_VIEWS)
        self._holder_cache = HolderCache()
        self._local_shares: dict[CustomerId, LocalShare] = {}

    @property
    def view_number(self) -> ViewNumber | None:
        """Return the newest view, if there is one."""
        return self._views[-1].number if self._views else None

    def shares(self) -> dict[CustomerId, LocalShare]:
        """Return the shares in use."""
        return self._local_shares

    def set_limit(
        self,
        customer: Customer,
        now_ms: float,
        previous: Customer | None = None,
        is_new: bool = False,
    ) -> None:
        """Apply a ticket's rate and burst.

        ``previous`` is the limit in force before. A new customer (``is_new``) has no
        previous holder to wait for, so that its first requests are not refused. With
        neither, the share opens empty one lease from now.
        """
        name = customer.customer
        if self._keeps_limits:
            previous = self._limits.get(name)
            is_new = previous is None
            self._limits[name] = customer
        if previous is not None and name not in self._local_shares:
            self.open_bucket(previous, now_ms)
        self._holder_cache.forget(name)
        holders = self.holders(customer)
        local_share = self._local_shares.get(name)
        if self._own_member not in holders:
            self._local_shares.pop(name, None)
            return
        if local_share is None:
            opens_full = is_new and not self._recently_removed(name, now_ms)
            self._open_after_ticket(customer, len(holders), opens_full, now_ms)
            return
        self._resize(local_share, customer, len(holders), now_ms)

    def _resize(
        self, local_share: LocalShare, limit: Customer, count: int, now_ms: float
    ) -> None:
        """Shrink a share at once; delay growth while replaced holders may spend."""
        raise_at_ms = local_share.bucket.raise_at_ms or now_ms
        if local_share.count != count:
            raise_at_ms = now_ms + self._settings.wait_ms
        local_share.count = count
        cap, rate_per_ms = self.share(limit, count)
        local_share.bucket.resize(cap, rate_per_ms, now_ms, raise_at_ms)

    def remove_limit(self, customer: CustomerId, now_ms: float) -> None:
        """Apply a ticket that removes a customer."""
        self._limits.pop(customer, None)
        self._holder_cache.forget(customer)
        self._local_shares.pop(customer, None)
        self._removed_ms[customer] = now_ms
        self._removed_ms.move_to_end(customer)
        if len(self._removed_ms) > MAX_REMOVED_CUSTOMERS:
            _, self._forgotten_removed_ms = self._removed_ms.popitem(last=False)

    def _recently_removed(self, customer: CustomerId, now_ms: float) -> bool:
        """Return True if a holder of the removed customer may still be spending.

        Otherwise a customer that is removed and added again within one lease would
        start with a full bucket, while a node that has read neither ticket still spends
        from the old one.
        """
        removed_ms = self._removed_ms.get(customer, self._forgotten_removed_ms)
        return now_ms < removed_ms + self._settings.wait_ms

    def _open_after_ticket(
        self, customer: Customer, count: int, opens_full: bool, now_ms: float
    ) -> None:
        view = self._views[-1]
        opens_at_ms = max(view.opens_at_ms, now_ms)
        if not opens_full:
            opens_at_ms = max(view.opens_at_ms, now_ms + self._settings.wait_ms)
        cap, rate_per_ms = self.share(customer, count)
        tokens = cap if opens_full and opens_at_ms <= now_ms else 0.0
        bucket = ShareBucket(cap, rate_per_ms, opens_at_ms, tokens)
        local_share = LocalShare(bucket, view.number, opens_at_ms, count)
        self._local_shares[customer.customer] = local_share

    def set_view(
        self, view_number: ViewNumber, members: Sequence[HolderCandidate], now_ms: float
    ) -> None:
        """Apply the next member view; ignore an older one.

        A skipped view may have moved a share to another member and a later one back.
        That member may have opened it and not have received the later view yet, so
        after a gap every share starts again, empty.
        """
        if self._views and view_number <= self._views[-1].number:
            return
        if self._views and view_number != self._views[-1].number + 1:
            self._views.clear()
            self._local_shares.clear()
        self._install(_View(view_number, tuple(members), HolderSelector(members)))
        for name, local_share in list(self._local_shares.items()):
            self._update_share(name, local_share, now_ms)

    def take_over_from(self, member: MemberId, now_ms: float) -> None:
        """Let the next member in order take over a lost member's shares.

        This lasts until the next view. While the platform is unreachable, the view
        cannot change, and a customer whose only holder is lost would be refused until
        the platform is back. Call it on evidence that the member cannot be eligible
        before the next view: a majority of the view has guaranteed not to echo its
        heartbeats until then. That suffices only if a holder with a fresh timestamp
        also needs those echoes to be eligible, and if a member that was ineligible
        calls `expire_shares` before it spends again.
        """
        if not self._views:
            return
        view = self._views[-1]
        kept = tuple(each for each in view.members if each.member != member)
        if len(kept) == len(view.members):
            return
        opens_at_ms = max(view.opens_at_ms, now_ms + self._settings.wait_ms)
        self._install(_View(view.number, kept, HolderSelector(kept), opens_at_ms))
        for name, local_share in list(self._local_shares.items()):
            self._update_share(name, local_share, now_ms)

    def expire_shares(self, now_ms: float) -> None:
        """Restart every share empty, after this member was not eligible.

        Another member may have taken them over meanwhile and may still spend from them.
        """
        self._local_shares.clear()
        if self._views:
            view = self._views[-1]
            if view.opens_at_ms < float("inf"):
                view.opens_at_ms = now_ms + self._settings.wait_ms
            self._views.clear()
            self._views.append(view)

    def _install(self, view: _View) -> None:
        self._views.append(view)
        self._holder_cache.install(view.members, view.selector)

    def _update_share(
        self, name: CustomerId, local_share: LocalShare, now_ms: float
    ) -> None:
        limit = self.limit_of(name)
        holders = self.holders(limit) if limit else ()
        if limit is None or self._own_member not in holders:
            del self._local_shares[name]
        elif local_share.count != len(holders):
            self._resize(local_share, limit, len(holders), now_ms)

    def activate(self, view_number: ViewNumber, now_ms: float) -> None:
        """Record that no previous holder can renew its eligibility any more.

        Call it when, of each earlier view by which a member might still be eligible, a
        majority has been seen at this view or a later one. The wait starts here rather
        than at `set_view`: a previous holder may have received its last reply from that
        majority just before it adopted the view, and is eligible for a lease from then.
        """
        opens_at_ms = now_ms + self._settings.wait_ms
        for view in self._views:
            if view.number <= view_number and view.opens_at_ms == float("inf"):
                view.opens_at_ms = opens_at_ms
        for local_share in self._local_shares.values():
            if (
                local_share.since_view <= view_number
                and local_share.opens_at_ms == float("inf")
            ):
                local_share.opens_at_ms = opens_at_ms
                local_share.bucket.open_at(opens_at_ms)

    def share(self, limit: Customer, count: int) -> tuple[float, float]:
        """Return one share's fraction of the burst and its refill per millisecond."""
        rate_per_ms = limit.rate_per_s / 1000.0 * (1 - self._settings.drift)
        return limit.burst / count, rate_per_ms / count

    def holders(self, limit: Customer) -> tuple[MemberId, ...]:
        """Return the holders of a customer in the newest view."""
        return self._holder_cache.holders(limit) if self._views else ()

    def _holders_in(self, view: _View, limit: Customer) -> tuple[MemberId, ...]:
        count = holder_count(limit.rate_per_s, limit.burst)
        return view.selector.holders(limit.customer, count)

    def open_bucket(self, limit: Customer, now_ms: float) -> ShareBucket | None:
        """Return the bucket of a share that this member may spend from.

        A share that is not open yet counts as none: its previous holder may still be
        spending, so tokens borrowed meanwhile must not be kept in it.
        """
        local_share = self._local_shares.get(limit.customer)
        if local_share is None:
            holders = self.holders(limit)
            if self._own_member not in holders:
                return None
            local_share = self._open_on_first_use(limit, len(holders))
            self._local_shares[limit.customer] = local_share
        return local_share.bucket if now_ms >= local_share.opens_at_ms else None

    def _open_on_first_use(self, limit: Customer, count: int) -> LocalShare:
        """Open a share at its first request, as of the oldest view that assigns it."""
        since_view = self._views[-1]
        for view in reversed(self._views):
            if self._own_member not in (holders := self._holders_in(view, limit)):
                break
            if len(holders) != count:
                break
            since_view = view
        cap, rate_per_ms = self.share(limit, count)
        bucket = ShareBucket(cap, rate_per_ms, since_view.opens_at_ms)
        return LocalShare(bucket, since_view.number, since_view.opens_at_ms, count)
