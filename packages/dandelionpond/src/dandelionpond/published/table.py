"""Find the route and the client account of a request."""

from dandelionpond.published.messages import Account, Route, RoutingDocument, Service


class RouteTable:
    """Index one routing document."""

    __slots__ = ("_accounts", "_routes", "_services", "document")

    def __init__(self, document: RoutingDocument) -> None:
        self.document = document
        self._services = {service.name: service for service in document.services}
        self._accounts = {
            key: account for account in document.accounts for key in account.keys
        }
        self._routes: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route

    @property
    def needs_key(self) -> bool:
        """Return whether requests on routes that are not public carry a key."""
        return bool(self.document.accounts)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that begins the path."""
        routes = self._routes.get(host)
        if routes is None:
            return None
        # Prefixes end with a slash, so only these cuts of the path can match.
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def account_of(self, key: str) -> Account | None:
        """Return the client account that holds a key."""
        return self._accounts.get(key)

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        return self._services.get(name)
