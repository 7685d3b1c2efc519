"""Print the whole state of nodes."""

import sys
from typing import Any

import msgspec

from dandelionpond_ctl.exit_codes import FINDINGS, OK, USAGE
from dandelionpond_ctl.folder import CommandError, print_json
from dandelionpond_ctl.nodes import DEFAULT_OPTIONS, NodeOptions, connect, run
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
    return run(_print(options, section, wants_json(json)))


async def _print(options: NodeOptions, section: str | None, lines: bool) -> int:
    code = OK
    async with connect(options) as nodes:

        async def one(url: str) -> dict[str, Any]:
            found: dict[str, Any] = await nodes.get(url, "/v1/dump", dict)
            return found

        # Each dump is printed as it arrives: those of a whole fleet do not fit memory.
        async for reply in nodes.each(
            one, "asking for the dump", shows_bar=not sys.stdout.isatty()
        ):
            if reply.error is not None:
                code = FINDINGS
                _write({"node": reply.node, "error": reply.error}, lines)
                continue
            if section is not None and section not in reply.value:
                names = ", ".join(reply.value)
                raise CommandError(f"no section {section!r}; there are {names}", USAGE)
            value = reply.value if section is None else reply.value[section]
            _write({"node": reply.node, "dump": value}, lines)
    return code


def _write(value: dict[str, Any], lines: bool) -> None:
    if lines:
        sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
    else:
        print_json(value)
