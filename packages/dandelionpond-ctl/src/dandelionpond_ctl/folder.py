"""Read and validate a folder of settings, and print JSON and tables."""

import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from dandelionpond.config.merge import MergedSettings, SettingsError, merge_folder
from dandelionpond_ctl.exit_codes import FINDINGS, USAGE
from dandelionpond_ctl.progress import ProgressBar

# Width of a table, in characters, if standard output is not a terminal; the longest
# usual row fits on one line.
NON_TERMINAL_WIDTH = 200


class CommandError(Exception):
    """An expected failure with a one-line message and an exit code."""

    def __init__(self, message: str, code: int = FINDINGS) -> None:
        super().__init__(message)
        self.code = code


def read_directory(directory: Path) -> dict[str, bytes]:
    """Return the content of each file by name, without hidden files.

    Raises `CommandError` if the directory or a file cannot be read.
    """
    try:
        return {
            path.name: path.read_bytes()
            for path in sorted(directory.iterdir())
            if path.is_file() and not path.name.startswith(".")
        }
    except OSError as error:
        message = f"{error.filename or directory}: {error.strerror}"
        raise CommandError(message, USAGE) from error


def load_settings(directory: Path) -> MergedSettings | list[SettingsError]:
    """Merge the files of a directory; return the settings or all errors."""
    with ProgressBar(f"reading {directory}", None):
        merged = merge_folder(read_directory(directory))
    return merged.ok if merged.is_ok() else merged.error


def load_valid_settings(directory: Path) -> MergedSettings:
    """Merge the files of a directory that must be valid.

    Raises `CommandError` with the number of errors and the first error.
    """
    result = load_settings(directory)
    if isinstance(result, MergedSettings):
        return result
    message = f"{directory}: {len(result)} errors, the first is {result[0]}"
    raise CommandError(message)


def print_json(value: object) -> None:
    """Print a value as indented JSON on standard output."""
    formatted = msgspec.json.format(msgspec.json.encode(value), indent=2)
    sys.stdout.write(formatted.decode() + "\n")


def print_table(columns: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> None:
    """Print a table; long cells are wrapped, not truncated."""
    table = Table(*columns, show_edge=False)
    for column in table.columns:
        column.overflow = "fold"
    for row in rows:
        table.add_row(*(cell.replace("[", r"\[") for cell in row))
    width = None if sys.stdout.isatty() else NON_TERMINAL_WIDTH
    Console(highlight=False, width=width).print(table)
