"""Run the operators' commands from the command line."""

import sys
from collections.abc import Sequence

import cyclopts

from dandelionpond_ctl.check import check
from dandelionpond_ctl.diff import diff
from dandelionpond_ctl.folder import OK, USAGE, CommandError
from dandelionpond_ctl.render import render

app = cyclopts.App(
    name="dandelionpondctl",
    help="Check, print and compare published settings.",
    version_flags=[],
    result_action="return_value",
)
for command in (check, render, diff):
    app.command(command)


def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code.

    0 means that all is well, 1 that there are findings or errors, 2 a usage error. An
    expected error is one line on standard error.
    """
    try:
        code = app(
            arguments, exit_on_error=False, print_error=False, help_on_error=False
        )
    except CommandError as error:
        print(f"dandelionpondctl: {error}", file=sys.stderr)
        return error.code
    except cyclopts.CycloptsError as error:
        text = " ".join(str(error).split())
        print(f"dandelionpondctl: {text}", file=sys.stderr)
        return USAGE
    except BrokenPipeError:
        return OK
    return code if isinstance(code, int) else OK


def main() -> None:
    """Start the command line and leave with its exit code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
