"""Compare the desired state of an engine with the state that it reports."""

import msgspec

from dandelionpond.config.schema import EngineUpstream, Settings
from dandelionpond.orders.messages import EngineChange, EngineReport


class DesiredModel(msgspec.Struct, frozen=True):
    """Version and adapters of a model that an engine should have loaded."""

    version: str
    adapters: tuple[str, ...] = ()


class DesiredState(msgspec.Struct, frozen=True):
    """Desired models and role of one engine."""

    models: dict[str, DesiredModel]
    role: str


def desired_state(settings: Settings, engine: str) -> DesiredState | None:
    """Return an engine's desired state, or None if no engine has that name."""
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
    return DesiredState(models, upstream.role)


def missing_changes(desired: DesiredState, report: EngineReport) -> list[EngineChange]:
    """Return the changes that an engine still needs, in the order of sending them.

    A model or an adapter that is being loaded counts as loaded. To free memory first,
    models are unloaded before others are loaded, and adapters before others of the same
    model. Adapters are loaded once their model is ready.
    """
    missing = []
    if report.role != desired.role:
        missing.append(EngineChange("set_role", role=desired.role))
    for name in sorted(report.models.keys() - desired.models.keys()):
        missing.append(EngineChange("unload_model", model=name))
    for name, desired_model in sorted(desired.models.items()):
        reported_model = report.models.get(name)
        if reported_model is None or reported_model.version != desired_model.version:
            missing.append(
                EngineChange("load_model", model=name, version=desired_model.version)
            )
            continue
        for adapter in sorted(
            reported_model.adapters.keys() - set(desired_model.adapters)
        ):
            missing.append(EngineChange("unload_adapter", model=name, adapter=adapter))
        if reported_model.state == "ready":
            for adapter in desired_model.adapters:
                if adapter not in reported_model.adapters:
                    missing.append(
                        EngineChange("load_adapter", model=name, adapter=adapter)
                    )
    return missing


def required_loads(desired: DesiredState) -> set[EngineChange]:
    """Return all loads that an engine without models needs to reach the state."""
    loads = set()
    for name, desired_model in desired.models.items():
        loads.add(EngineChange("load_model", model=name, version=desired_model.version))
        for adapter in desired_model.adapters:
            loads.add(EngineChange("load_adapter", model=name, adapter=adapter))
    return loads
