"""Read a published folder from disk and report its errors."""

import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from dandelionpond.config.merge import MergedSettings, SettingsError, merge_folder
from dandelionpond_ctl.exit_codes import FINDINGS, USAGE
from dandelionpond_ctl.progress import Bar

# A pipe or a file has no width; this one keeps the longest usual row on one line.
FILE_WIDTH = 200


class CommandError(Exception):
    """Carry one line for standard error and the exit code."""

    def __init__(self, message: str, code: int = FINDINGS) -> None:
        super().__init__(message)
        self.code = code


def read_directory(directory: Path) -> dict[str, bytes]:
    """Return the content of each file by name; hidden files are left out.

    Raises `CommandError` if the directory or a file cannot be read.
    """
    try:
        return {
            path.name: path.read_bytes()
            for path in sorted(directory.iterdir())
            if path.is_file() and not path.name.startswith(".")
        }
    except OSError as error:
        text = f"{error.filename or directory}: {error.strerror}"
        raise CommandError(text, USAGE) from error


def load(directory: Path) -> MergedSettings | list[SettingsError]:
    """Merge a directory; return the settings or all of its errors."""
    with Bar(f"reading {directory}", None):
        result = merge_folder(read_directory(directory))
    return result.ok if result.is_ok() else result.error


def load_valid(directory: Path) -> MergedSettings:
    """Merge a directory that must be valid.

    Raises `CommandError` with the number of errors and the first one.
    """
    loaded = load(directory)
    if isinstance(loaded, MergedSettings):
        return loaded
    text = f"{directory}: {len(loaded)} errors, the first is {loaded[0]}"
    raise CommandError(text)


def print_json(value: object) -> None:
    """Print a value as indented JSON on standard output."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    sys.stdout.write(text.decode() + "\n")


def print_table(columns: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> None:
    """Print a table; long cells are folded, never cut."""
    table = Table(*columns, show_edge=False)
    for column in table.columns:
        column.overflow = "fold"
    for row in rows:
        table.add_row(*(cell.replace("[", r"\[") for cell in row))
    width = None if sys.stdout.isatty() else FILE_WIDTH
    Console(highlight=False, width=width).print(table)
