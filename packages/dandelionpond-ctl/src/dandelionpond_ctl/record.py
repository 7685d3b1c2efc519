"""Download or follow the decision records of nodes."""

import asyncio
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import BinaryIO

import msgspec

from dandelionpond_ctl.exit_codes import FINDINGS, OK, USAGE
from dandelionpond_ctl.folder import CommandError
from dandelionpond_ctl.nodes import (
    DEFAULT_OPTIONS,
    NodeError,
    NodeOptions,
    Nodes,
    connect,
    run_async,
)
from dandelionpond_ctl.progress import ProgressBar


class _RecordNumber(msgspec.Struct, frozen=True):
    seq: int


def record(
    *,
    options: NodeOptions = DEFAULT_OPTIONS,
    output: Path | None = None,
    follow: bool = False,
) -> int:
    """Write the decision records of nodes as JSON lines.

    Lines are written as the node sent them, each node's in its order. Gaps in the
    sequence numbers are reported on standard error and give exit code 1.

    Parameters
    ----------
    output
        New file to write to in place of standard output.
    follow
        Wait for more records until SIGINT.
    """
    with _open_output(output) as sink:
        try:
            return run_async(_copy_records(options, sink, follow))
        except KeyboardInterrupt:
            return OK if follow else FINDINGS


class RecordCopier:
    """A copier of one node's records that counts gaps in their sequence numbers."""

    def __init__(self, sink: BinaryIO) -> None:
        self._sink = sink
        self._last_seq: int | None = None
        self.written_count = 0
        self.missing_count = 0

    def write(self, line: bytes) -> None:
        """Write one line; raises `NodeError` if it is not a record."""
        try:
            seq = msgspec.json.decode(line, type=_RecordNumber).seq
        except msgspec.MsgspecError as error:
            raise NodeError(f"invalid record: {error}") from error
        if self._last_seq is not None:
            self.missing_count += max(0, seq - self._last_seq - 1)
        self._last_seq = seq
        self._sink.write(line + b"\n")
        self.written_count += 1


async def _copy_records(options: NodeOptions, sink: BinaryIO, follow: bool) -> int:
    async with connect(options) as nodes:
        with ProgressBar(
            "reading records", len(nodes.urls), enabled=not sink.isatty()
        ) as bar:
            if follow:
                copies = [_copy_node(nodes, url, sink, True, bar) for url in nodes.urls]
                results = await asyncio.gather(*copies)
            else:
                # One node after the other, so that the records of each stay together.
                results = [
                    await _copy_node(nodes, url, sink, False, bar) for url in nodes.urls
                ]
    return OK if all(results) else FINDINGS


async def _copy_node(
    nodes: Nodes, url: str, sink: BinaryIO, follow: bool, bar: ProgressBar
) -> bool:
    copier = RecordCopier(sink)
    path = "/v1/decisions?follow=true" if follow else "/v1/decisions"
    error = "the node ended the stream" if follow else ""
    try:
        lines: AsyncIterator[bytes] = nodes.stream(url, path, may_pause=follow)
        async for line in lines:
            copier.write(line)
            if follow:
                sink.flush()
    except NodeError as failure:
        error = str(failure)
    finally:
        if copier.missing_count:
            _print_warning(url, f"{copier.missing_count} records are missing")
    if error:
        _print_warning(url, f"{error} after {copier.written_count} records")
    bar.advance()
    return not error and not copier.missing_count


@contextmanager
def _open_output(output: Path | None) -> Iterator[BinaryIO]:
    if output is None:
        yield sys.stdout.buffer
        sys.stdout.buffer.flush()
        return
    try:
        sink = output.open("xb")
    except OSError as error:
        raise CommandError(f"{output}: {error.strerror}", USAGE) from error
    with sink:
        yield sink


def _print_warning(url: str, text: str) -> None:
    print(f"dandelionpondctl: {url}: {text}", file=sys.stderr)
