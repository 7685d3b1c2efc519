"""Find requests that wait in vain because operators excluded their upstreams."""

from collections.abc import Iterable

from dandelionpond.entry.client_requests import IncomingRequest
from dandelionpond.entry.fleet import Fleet

# A service, the regions that a request allows, and the upstreams that it has tried.
_Group = tuple[str, frozenset[str] | None, frozenset[str]]


def is_hopeless(fleet: Fleet, request: IncomingRequest, tried: Iterable[str]) -> bool:
    """Return whether operators have excluded all upstreams that are left."""
    if not fleet.published.evacuated_domains and request.requirements.homes is None:
        return False
    return fleet.candidates(request.service, frozenset(tried), request).is_hopeless


class WaitingRequests:
    """The requests of waiting prompts, by the identifier of the prompt."""

    __slots__ = ("_checked", "_fleet", "_requests")

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._requests: dict[str, tuple[IncomingRequest, frozenset[str]]] = {}
        self._checked: tuple[int, ...] = ()

    def add(self, id: str, request: IncomingRequest, tried: frozenset[str]) -> None:
        """Add the request of a prompt, which has upstreams when it begins to wait."""
        self._requests[id] = request, tried

    def remove(self, id: str) -> None:
        """Remove a prompt that no longer waits; no effect if it is not known."""
        self._requests.pop(id, None)

    def find_hopeless(self) -> tuple[str, ...]:
        """Return the prompts for which no upstream is left.

        They are checked only after a change of the document, of the list of upstreams
        or of what responses said, and once for all requests that may use the same ones.
        """
        fleet = self._fleet
        table = fleet.published.table
        if not self._requests or table is None:
            return ()
        entries = len(fleet.published.entries(fleet.now()))
        state = (fleet.published.digest, entries, fleet.marks.counters.leaving)
        if state == self._checked:
            return ()
        self._checked = state
        results: dict[_Group, bool] = {}
        hopeless = []
        for id, (request, tried) in self._requests.items():
            request.update_requirements(table)
            group = request.service, request.requirements.homes, tried
            if group not in results:
                results[group] = is_hopeless(fleet, request, tried)
            if results[group]:
                hopeless.append(id)
        return tuple(hopeless)
