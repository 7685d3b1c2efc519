"""Register the pure functions whose decisions are recorded and replayed."""

from collections.abc import Callable
from typing import Any

import msgspec

# A record leaves the node. It may hold counts, hashes and names, never these.
FORBIDDEN_FIELDS = frozenset(
    {
        "authorization",
        "bearer",
        "body",
        "content",
        "key",
        "messages",
        "prompt",
        "secret",
        "text",
        "ticket",
    }
)


class Decision(msgspec.Struct, frozen=True):
    """Describe one registered decision of a slice."""

    slice: str
    name: str
    input_type: Any
    output_type: Any
    function: Callable[[Any], Any]


class Registry:
    """Hold the decisions by slice and name; it is filled once at the start."""

    __slots__ = ("_decisions",)

    def __init__(self) -> None:
        self._decisions: dict[tuple[str, str], Decision] = {}

    @property
    def names(self) -> list[str]:
        """Return `slice.name` of each decision in order."""
        return sorted(f"{slice}.{name}" for slice, name in self._decisions)

    def register(
        self,
        slice: str,
        name: str,
        input_type: Any,
        output_type: Any,
        function: Callable[[Any], Any],
    ) -> Decision:
        """Register a pure function of one input.

        Raise `ValueError` for a second registration of a name and for a type with
        bytes or with a field that could hold a bearer key or prompt text.
        """
        if (slice, name) in self._decisions:
            raise ValueError(f"decision {slice}.{name} is already registered")
        for kind in (input_type, output_type):
            _check(msgspec.inspect.type_info(kind), f"{slice}.{name}", set())
        decision = Decision(slice, name, input_type, output_type, function)
        self._decisions[slice, name] = decision
        return decision

    def get(self, slice: str, name: str) -> Decision | None:
        """Return a registered decision, or None."""
        return self._decisions.get((slice, name))


def _check(info: Any, path: str, seen: set[Any]) -> None:
    inspect = msgspec.inspect
    if isinstance(info, inspect.BytesType | inspect.ByteArrayType):
        raise ValueError(f"{path}: a decision record must not hold bytes")
    if isinstance(info, inspect.StructType):
        if info.cls in seen:
            return
        seen.add(info.cls)
        for field in info.fields:
            inner = f"{path}.{field.name}"
            if field.name in FORBIDDEN_FIELDS:
                raise ValueError(f"{inner}: this field could hold a key or a prompt")
            _check(field.type, inner, seen)
        return
    for name in ("item_type", "key_type", "value_type"):
        inner_type = getattr(info, name, None)
        if inner_type is not None:
            _check(inner_type, path, seen)
    for name in ("types", "item_types"):
        for inner_type in getattr(info, name, ()) or ():
            _check(inner_type, path, seen)
