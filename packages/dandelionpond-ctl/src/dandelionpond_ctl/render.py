"""Print the merged settings of a folder."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from dandelionpond.config.check import join_path
from dandelionpond_ctl.exit_codes import OK
from dandelionpond_ctl.folder import load_valid_settings, print_json, print_table
from dandelionpond_ctl.user_settings import wants_json


def render(directory: Path, /, *, json: bool | None = None) -> int:
    """Print the merged state, its hash and the file that each value comes from.

    Parameters
    ----------
    directory
        Folder of published files.
    json
        Print JSON in place of a table.
    """
    merged = load_valid_settings(directory)
    if wants_json(json):
        print_json(
            {
                "digest": merged.digest,
                "settings": merged.document,
                "origins": merged.origins,
            }
        )
        return OK
    print(f"digest {merged.digest}")
    rows = [
        (path, msgspec.json.encode(value).decode(), merged.origins.get(path, ""))
        for path, value in sorted(iterate_leaves(merged.document))
    ]
    print_table(("path", "value", "file"), rows)
    return OK


def iterate_leaves(value: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Yield the path and value of each leaf; an empty object counts as a leaf."""
    if isinstance(value, dict) and value:
        for key, item in value.items():
            yield from iterate_leaves(item, join_path(path, key))
    else:
        yield path, value
