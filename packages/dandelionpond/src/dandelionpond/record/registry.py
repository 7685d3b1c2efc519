"""Registry of the pure functions whose decisions are recorded and replayed."""

from collections.abc import Callable
from typing import Any

import msgspec

# Records leave the node: they may contain counts, hashes and names, but no secrets or
# prompt content.
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
    """Registered decision of a slice: its types and the function that makes it."""

    slice: str
    name: str
    input_type: Any
    output_type: Any
    function: Callable[[Any], Any]


class Registry:
    """Decisions by slice and name, registered once at startup."""

    __slots__ = ("_decisions",)

    def __init__(self) -> None:
        self._decisions: dict[tuple[str, str], Decision] = {}

    @property
    def names(self) -> list[str]:
        """Return the sorted `slice.name` of all decisions."""
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

        Raise `ValueError` if the name is already registered, or if a type contains
        bytes or a field that could contain a bearer key or prompt text.
        """
        if (slice, name) in self._decisions:
            raise ValueError(f"decision {slice}.{name} is already registered")
        for data_type in (input_type, output_type):
            _check_type(msgspec.inspect.type_info(data_type), f"{slice}.{name}", set())
        decision = Decision(slice, name, input_type, output_type, function)
        self._decisions[slice, name] = decision
        return decision

    def get(self, slice: str, name: str) -> Decision | None:
        """Return a registered decision, or None."""
        return self._decisions.get((slice, name))


def _check_type(type_info: Any, path: str, checked_types: set[Any]) -> None:
    inspect = msgspec.inspect
    if isinstance(type_info, inspect.BytesType | inspect.ByteArrayType):
        raise ValueError(f"{path}: a decision record must not contain bytes")
    if isinstance(type_info, inspect.StructType):
        if type_info.cls in checked_types:
            return
        checked_types.add(type_info.cls)
        for field in type_info.fields:
            field_path = f"{path}.{field.name}"
            if field.name in FORBIDDEN_FIELDS:
                raise ValueError(
                    f"{field_path}: the field could contain a key or a prompt"
                )
            _check_type(field.type, field_path, checked_types)
        return
    for attribute in ("item_type", "key_type", "value_type"):
        inner_type = getattr(type_info, attribute, None)
        if inner_type is not None:
            _check_type(inner_type, path, checked_types)
    for attribute in ("types", "item_types"):
        for inner_type in getattr(type_info, attribute, ()) or ():
            _check_type(inner_type, path, checked_types)
