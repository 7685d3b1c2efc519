"""Look up the route and the client account of a request."""

from dandelionpond.published.messages import Account, Route, RoutingDocument, Service


class RouteTable:
    """An index of the routes, services and API keys of one routing document."""

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
        """Return whether requests on routes that are not public require an API key."""
        return bool(self.document.accounts)

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that matches the path."""
        routes = self._routes.get(host)
        if routes is None:
            return None
        # Route prefixes end with a slash, so only parts of the path up to a slash can
        # match.
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def account_of(self, key: str) -> Account | None:
        """Return the client account that an API key belongs to."""
        return self._accounts.get(key)

    def service(self, name: str) -> Service | None:
        """Return the service with a name."""
        return self._services.get(name)
