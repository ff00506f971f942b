"""Match paths to routes by the longest prefix of whole segments."""

from collections.abc import Iterator

from crocusspindle.core.model import Route


class RouteTable:
    """Hold routes by prefix."""

    def __init__(self) -> None:
        self._routes: dict[str, Route] = {}
        self._methods: dict[frozenset[str], frozenset[str]] = {}
        self._depth = 0

    def __len__(self) -> int:
        return len(self._routes)

    def __iter__(self) -> Iterator[Route]:
        return iter(self._routes.values())

    def put(self, route: Route) -> None:
        """Add a route or replace the one of the same prefix."""
        methods = self._methods.setdefault(
            route.idempotent_methods, route.idempotent_methods
        )
        prefix = self._normal(route.prefix)
        self._routes[prefix] = Route(route.prefix, route.service, methods)
        self._depth = max(self._depth, prefix.count("/"))

    def remove(self, prefix: str) -> bool:
        """Remove a route and return True if it was there."""
        return self._routes.pop(self._normal(prefix), None) is not None

    def find(self, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        Needs at most one lookup more than the deepest route has segments, so that a
        path with thousands of slashes costs no more than an ordinary one.
        """
        candidate = "/".join(path.split("/", self._depth + 1)[: self._depth + 1])
        while candidate:
            route = self._routes.get(candidate)
            if route is not None:
                return route
            candidate = candidate.rpartition("/")[0]
        return self._routes.get("")

    @staticmethod
    def _normal(prefix: str) -> str:
        return prefix.rstrip("/")
