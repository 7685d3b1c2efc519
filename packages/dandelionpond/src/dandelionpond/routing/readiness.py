"""Know which version of a model each engine can serve now."""


class ModelReadiness:
    """Own what the engines in reach report as ready.

    While a version changes, an engine that holds another version still serves: the
    store's rate can make a change take minutes, and until its turn comes an engine
    would stand idle. An engine that loads serves nothing. An engine that reports
    nothing is taken to be ready. Bound: the engines in reach. Times are in monotonic
    seconds.
    """

    __slots__ = ("_models", "_reach", "_refused")

    def __init__(self) -> None:
        self._reach: frozenset[str] = frozenset()
        self._models: dict[str, dict[str, str]] = {}
        # Models that an engine refused, with the time, until a report asked for later.
        self._refused: dict[str, dict[str, float]] = {}

    def set_engines(self, engines: tuple[str, ...]) -> None:
        """Replace the engines in reach; what is known of others is dropped."""
        self._reach = frozenset(engines)
        for table in (self._models, self._refused):
            for name in [name for name in table if name not in self._reach]:
                del table[name]

    def record_report(
        self, engine: str, models: dict[str, str] | None, asked_at: float
    ) -> None:
        """Take the ready models of an engine with their versions; None is unknown.

        A refusal stands until a report that was asked for after it: an answer that was
        on its way would show the model as ready once more.
        """
        if engine not in self._reach:
            return
        refused = self._refused.get(engine, {})
        for model in [model for model, at in refused.items() if at < asked_at]:
            del refused[model]
        if models is None:
            self._models.pop(engine, None)
        else:
            self._models[engine] = models

    def record_refusal(self, engine: str, model: str, now: float) -> None:
        """Learn that an engine refused a model."""
        if engine in self._reach:
            self._refused.setdefault(engine, {})[model] = now

    def is_ready(self, engine: str, model: str) -> bool:
        """Return whether an engine can serve a model now, as far as is known."""
        if model in self._refused.get(engine, ()):
            return False
        models = self._models.get(engine)
        return models is None or model in models

    def served_version(self, engine: str, model: str) -> str:
        """Return the version that an engine serves, or an empty text if unknown."""
        return self._models.get(engine, {}).get(model, "")
