"""Which version of each model the engines can serve now."""


class ModelReadiness:
    """The models and versions that the engines in reach report as ready.

    During a version change, an engine that has another version still serves. The
    rate limit of the weight store can make a change take minutes, and the engine would
    be idle until its turn. An engine that is loading a model cannot serve it. An engine
    that reports no models counts as ready. Only engines in reach are tracked. Times are
    monotonic seconds.
    """

    __slots__ = ("_engines", "_ready_models", "_refused_at")

    def __init__(self) -> None:
        self._engines: frozenset[str] = frozenset()
        self._ready_models: dict[str, dict[str, str]] = {}
        # Engine and model to the time of the refusal. A report that was requested later
        # removes the entry.
        self._refused_at: dict[str, dict[str, float]] = {}

    def set_engines(self, engines: tuple[str, ...]) -> None:
        """Replace the engines in reach and drop the state of all others."""
        self._engines = frozenset(engines)
        for table in (self._ready_models, self._refused_at):
            for name in [name for name in table if name not in self._engines]:
                del table[name]

    def record_report(
        self, engine: str, models: dict[str, str] | None, asked_at: float
    ) -> None:
        """Record the ready models of an engine with their versions; None is unknown.

        A refusal is cleared only by a report that was requested after it. A report that
        was already in transit would show the model as ready again.
        """
        if engine not in self._engines:
            return
        refused = self._refused_at.get(engine, {})
        for model in [model for model, at in refused.items() if at < asked_at]:
            del refused[model]
        if models is None:
            self._ready_models.pop(engine, None)
        else:
            self._ready_models[engine] = models

    def record_refusal(self, engine: str, model: str, now: float) -> None:
        """Record that an engine refused a model."""
        if engine in self._engines:
            self._refused_at.setdefault(engine, {})[model] = now

    def is_ready(self, engine: str, model: str) -> bool:
        """Return whether an engine can serve a model now, as far as known."""
        if model in self._refused_at.get(engine, ()):
            return False
        models = self._ready_models.get(engine)
        return models is None or model in models

    def served_version(self, engine: str, model: str) -> str:
        """Return the version that an engine serves, or an empty string if unknown."""
        return self._ready_models.get(engine, {}).get(model, "")
