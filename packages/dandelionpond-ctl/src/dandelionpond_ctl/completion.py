"""Print a shell completion script."""

from typing import Literal

from dandelionpond_ctl.exit_codes import OK


def completion(shell: Literal["bash", "zsh", "fish"], /) -> int:
    """Print the script that completes commands and options in a shell.

    Parameters
    ----------
    shell
        The shell; the script is read by it, for example `source <(...)` in bash.
    """
    # A module-level import would be circular: main imports this module.
    from dandelionpond_ctl.main import app

    print(app.generate_completion(shell=shell))
    return OK
