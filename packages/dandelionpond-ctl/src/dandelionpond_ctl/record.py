"""Fetch or follow the decision records of nodes."""

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
    run,
)
from dandelionpond_ctl.progress import Bar


class _Numbered(msgspec.Struct, frozen=True):
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
    with _open(output) as sink:
        try:
            return run(_record(options, sink, follow))
        except KeyboardInterrupt:
            return OK if follow else FINDINGS


class Copier:
    """Copy the lines of one node and count the records that are missing."""

    def __init__(self, sink: BinaryIO) -> None:
        self._sink = sink
        self._last: int | None = None
        self.written = 0
        self.missing = 0

    def take(self, line: bytes) -> None:
        """Write a line; raises `NodeError` if it is no record."""
        try:
            seq = msgspec.json.decode(line, type=_Numbered).seq
        except msgspec.MsgspecError as error:
            raise NodeError(f"invalid record: {error}") from error
        if self._last is not None:
            self.missing += max(0, seq - self._last - 1)
        self._last = seq
        self._sink.write(line + b"\n")
        self.written += 1


async def _record(options: NodeOptions, sink: BinaryIO, follow: bool) -> int:
    async with connect(options) as nodes:
        with Bar("reading records", len(nodes.urls), enabled=not sink.isatty()) as bar:
            if follow:
                jobs = [_copy(nodes, url, sink, True, bar) for url in nodes.urls]
                good = await asyncio.gather(*jobs)
            else:
                # One after the other, so that the records of a node stay together.
                good = [await _copy(nodes, url, sink, False, bar) for url in nodes.urls]
    return OK if all(good) else FINDINGS


async def _copy(nodes: Nodes, url: str, sink: BinaryIO, follow: bool, bar: Bar) -> bool:
    copier = Copier(sink)
    path = "/v1/decisions?follow=true" if follow else "/v1/decisions"
    error = "the node ended the stream" if follow else ""
    try:
        lines: AsyncIterator[bytes] = nodes.stream(url, path, may_pause=follow)
        async for line in lines:
            copier.take(line)
            if follow:
                sink.flush()
    except NodeError as failure:
        error = str(failure)
    finally:
        if copier.missing:
            _warn(url, f"{copier.missing} records are missing")
    if error:
        _warn(url, f"{error} after {copier.written} records")
    bar.advance()
    return not error and not copier.missing


@contextmanager
def _open(output: Path | None) -> Iterator[BinaryIO]:
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


def _warn(url: str, text: str) -> None:
    print(f"dandelionpondctl: {url}: {text}", file=sys.stderr)
