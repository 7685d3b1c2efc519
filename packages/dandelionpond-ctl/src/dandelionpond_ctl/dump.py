"""Print the internal state of nodes."""

import sys
from typing import Any

import msgspec

from dandelionpond_ctl.exit_codes import FINDINGS, OK, USAGE
from dandelionpond_ctl.folder import CommandError, print_json
from dandelionpond_ctl.nodes import DEFAULT_OPTIONS, NodeOptions, connect, run_async
from dandelionpond_ctl.user_settings import wants_json


def dump(
    *,
    options: NodeOptions = DEFAULT_OPTIONS,
    section: str | None = None,
    json: bool | None = None,
) -> int:
    """Print the state of every slice of each node, without keys and prompt text.

    One JSON object is printed for each node, in the order in which the nodes answer,
    with `node` and either `dump` or `error`.

    Parameters
    ----------
    section
        Print only this part, such as `membership`, `routing` or `counters`.
    json
        Print each object on one line in place of indented.
    """
    return run_async(_print_dumps(options, section, wants_json(json)))


async def _print_dumps(
    options: NodeOptions, section: str | None, one_line: bool
) -> int:
    exit_code = OK
    async with connect(options) as nodes:

        async def fetch_dump(url: str) -> dict[str, Any]:
            state: dict[str, Any] = await nodes.get(url, "/v1/dump", dict)
            return state

        # Each dump is printed as it arrives: all dumps of a fleet do not fit in memory.
        async for reply in nodes.ask_each(
            fetch_dump, "asking for the dump", show_bar=not sys.stdout.isatty()
        ):
            if reply.error is not None:
                exit_code = FINDINGS
                _print_object({"node": reply.node, "error": reply.error}, one_line)
                continue
            if section is not None and section not in reply.value:
                names = ", ".join(reply.value)
                raise CommandError(f"no section {section!r}; there are {names}", USAGE)
            value = reply.value if section is None else reply.value[section]
            _print_object({"node": reply.node, "dump": value}, one_line)
    return exit_code


def _print_object(value: dict[str, Any], one_line: bool) -> None:
    if one_line:
        sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
    else:
        print_json(value)
