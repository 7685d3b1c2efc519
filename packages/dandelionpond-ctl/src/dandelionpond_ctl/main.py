"""Run the operators' commands from the command line."""

import os
import sys
from collections.abc import Sequence

import cyclopts

from dandelionpond import __version__
from dandelionpond_ctl.check import check
from dandelionpond_ctl.completion import completion
from dandelionpond_ctl.diff import diff
from dandelionpond_ctl.drain import drain
from dandelionpond_ctl.dump import dump
from dandelionpond_ctl.exit_codes import EXIT_CODES, FINDINGS, OK, USAGE
from dandelionpond_ctl.explain import explain
from dandelionpond_ctl.folder import CommandError
from dandelionpond_ctl.record import record
from dandelionpond_ctl.render import render
from dandelionpond_ctl.replay import replay
from dandelionpond_ctl.status import status
from dandelionpond_ctl.usage import usage
from dandelionpond_ctl.where import where

_EXIT_CODES_TEXT = "; ".join(f"{code}: {text}" for code, text in EXIT_CODES.items())

app = cyclopts.App(
    name="dandelionpondctl",
    help="Check published settings, watch and drain nodes, replay their decisions.",
    help_epilogue=f"Exit codes: {_EXIT_CODES_TEXT}.",
    version=__version__,
    result_action="return_value",
    suppress_keyboard_interrupt=False,
)
COMMANDS = (
    check,
    render,
    diff,
    status,
    dump,
    usage,
    drain,
    record,
    replay,
    explain,
    where,
    completion,
)
for command in COMMANDS:
    app.command(command)


def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code from `EXIT_CODES`.

    An expected error is printed as one line on standard error.
    """
    try:
        code = app(
            arguments, exit_on_error=False, print_error=False, help_on_error=False
        )
        # Flushed here, because at exit Python would report a closed pipe or a full disk
        # with a traceback.
        sys.stdout.flush()
    except CommandError as error:
        print(f"dandelionpondctl: {error}", file=sys.stderr)
        return error.code
    except cyclopts.CycloptsError as error:
        text = " ".join(str(error).split())
        print(f"dandelionpondctl: {text}", file=sys.stderr)
        return USAGE
    except KeyboardInterrupt:
        print("dandelionpondctl: interrupted", file=sys.stderr)
        return FINDINGS
    except BrokenPipeError:
        _discard_output()
        return OK
    except OSError as error:
        name = f"{error.filename}: " if error.filename else ""
        print(f"dandelionpondctl: {name}{error.strerror or error}", file=sys.stderr)
        return FINDINGS
    return code if isinstance(code, int) else OK


def _discard_output() -> None:
    """Redirect buffered output to the null device, because the pipe is closed."""
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def main() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
