"""Know which version of a model each engine can serve now."""


class Readiness:
    """Own what the engines in reach report as ready.

    While a version changes, an engine that holds another version still serves: the
    store's rate can make a change take minutes, and until its turn comes an engine
    would stand idle. An engine that loads serves nothing. An engine that reports
    nothing is taken to be ready. Bound: the engines in reach.
    """

    __slots__ = ("_models", "_reach")

    def __init__(self) -> None:
        self._reach: frozenset[str] = frozenset()
        self._models: dict[str, dict[str, str]] = {}

    def set_reach(self, engines: tuple[str, ...]) -> None:
        """Replace the engines in reach; what is known of others is dropped."""
        self._reach = frozenset(engines)
        self._models = {
            name: models for name, models in self._models.items() if name in self._reach
        }

    def reported(self, engine: str, models: dict[str, str] | None) -> None:
        """Take the ready models of an engine with their versions; None is unknown."""
        if engine not in self._reach:
            return
        if models is None:
            self._models.pop(engine, None)
        else:
            self._models[engine] = models

    def refused(self, engine: str, model: str) -> None:
        """Learn that an engine refused a model; its next report replaces this."""
        known = self._models.get(engine)
        if known is not None:
            self._models[engine] = {
                name: version for name, version in known.items() if name != model
            }

    def is_ready(self, engine: str, model: str) -> bool:
        """Return whether an engine can serve a model now, as far as is known."""
        models = self._models.get(engine)
        return models is None or model in models

    def version(self, engine: str, model: str) -> str:
        """Return the version that an engine serves, or an empty text if unknown."""
        return self._models.get(engine, {}).get(model, "")
