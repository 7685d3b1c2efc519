"""Find the file that each value of the merged settings comes from."""

from collections.abc import Iterable
from typing import Any

from dandelionpond.config.check import join_path


def origins_of(path: str, parts: Iterable[tuple[str, Any]]) -> dict[str, str]:
    """Return the file of each leaf below a path, for patches in merge order."""
    tree: Any = None
    for file, part in parts:
        tree = None if part is None else _mark(tree, part, file)
    found: dict[str, str] = {}
    _flatten(tree, path, found)
    return found


def _mark(tree: Any, part: Any, file: str) -> Any:
    """Apply a patch to a tree that holds file names in place of values."""
    if not isinstance(part, dict):
        return file
    result = tree if isinstance(tree, dict) else {}
    for key, value in part.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = _mark(result.get(key), value, file)
    return result


def _flatten(tree: Any, path: str, found: dict[str, str]) -> None:
    if isinstance(tree, dict):
        for key, value in tree.items():
            _flatten(value, join_path(path, key), found)
    elif tree is not None:
        found[path] = tree


def file_of(path: str, origins: dict[str, str], default: str) -> str:
    """Return the last file that set a path, something below it or a parent of it."""
    while path:
        if path in origins:
            return origins[path]
        below = [file for leaf, file in origins.items() if leaf.startswith(path + "/")]
        if below:
            return max(below)
        path = path.rpartition("/")[0]
    return default
