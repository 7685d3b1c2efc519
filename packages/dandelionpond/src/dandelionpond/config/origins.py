"""Find the file that set each value of the merged settings."""

from collections.abc import Iterable
from typing import Any

from dandelionpond.config.check import join_path


def origins_by_path(path: str, patches: Iterable[tuple[str, Any]]) -> dict[str, str]:
    """Return the file that set each leaf below a path, by the path of the leaf.

    `patches` are pairs of a file name and a patch, in merge order.
    """
    tree: Any = None
    for file, patch in patches:
        tree = None if patch is None else _apply_patch(tree, patch, file)
    origins: dict[str, str] = {}
    _collect_leaves(tree, path, origins)
    return origins


def _apply_patch(tree: Any, patch: Any, file: str) -> Any:
    """Apply a patch to a tree that holds file names instead of values."""
    if not isinstance(patch, dict):
        return file
    result = tree if isinstance(tree, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = _apply_patch(result.get(key), value, file)
    return result


def _collect_leaves(tree: Any, path: str, origins: dict[str, str]) -> None:
    if isinstance(tree, dict):
        for key, value in tree.items():
            _collect_leaves(value, join_path(path, key), origins)
    elif tree is not None:
        origins[path] = tree


def find_origin(path: str, origins: dict[str, str], default: str) -> str:
    """Return the last file that set a path, a descendant of it or its next ancestor."""
    while path:
        if path in origins:
            return origins[path]
        below = [file for leaf, file in origins.items() if leaf.startswith(path + "/")]
        if below:
            return max(below)
        path = path.rpartition("/")[0]
    return default
