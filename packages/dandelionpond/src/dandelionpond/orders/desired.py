"""Compare what the settings ask of an engine with what the engine reports."""

import msgspec

from dandelionpond.config.schema import EngineUpstream, Settings
from dandelionpond.orders.messages import EngineChange, EngineReport


class DesiredModel(msgspec.Struct, frozen=True):
    """Name the version and the adapters that an engine should hold."""

    version: str
    adapters: tuple[str, ...] = ()


class Desired(msgspec.Struct, frozen=True):
    """Hold the desired state of one engine."""

    models: dict[str, DesiredModel]
    role: str


def desired_state(settings: Settings, engine: str) -> Desired | None:
    """Return the desired state from settings alone; None if it is no engine."""
    upstream = settings.upstreams.get(engine)
    if not isinstance(upstream, EngineUpstream):
        return None
    models = {
        name: DesiredModel(
            settings.models[name].version, settings.models[name].adapters
        )
        for name in upstream.models
        if name in settings.models
    }
    return Desired(models, upstream.role)


def changes(desired: Desired, report: EngineReport) -> list[EngineChange]:
    """Return the changes that are missing, in the order in which to send them.

    What is loading counts as done. Memory is freed before something is loaded. Adapters
    follow when their model is ready.
    """
    missing = []
    if report.role != desired.role:
        missing.append(EngineChange("set_role", role=desired.role))
    for name in sorted(report.models.keys() - desired.models.keys()):
        missing.append(EngineChange("unload_model", model=name))
    for name, want in sorted(desired.models.items()):
        state = report.models.get(name)
        if state is None or state.version != want.version:
            missing.append(EngineChange("load_model", model=name, version=want.version))
            continue
        for adapter in sorted(state.adapters.keys() - set(want.adapters)):
            missing.append(EngineChange("unload_adapter", model=name, adapter=adapter))
        if state.state == "ready":
            for adapter in want.adapters:
                if adapter not in state.adapters:
                    missing.append(
                        EngineChange("load_adapter", model=name, adapter=adapter)
                    )
    return missing


def loads(desired: Desired) -> set[EngineChange]:
    """Return every load that the desired state needs on an empty engine."""
    found = set()
    for name, want in desired.models.items():
        found.add(EngineChange("load_model", model=name, version=want.version))
        for adapter in want.adapters:
            found.add(EngineChange("load_adapter", model=name, adapter=adapter))
    return found
