"""Validate a folder of settings before it is published."""

from pathlib import Path

from dandelionpond.config.merge import MergedSettings
from dandelionpond_ctl.exit_codes import FINDINGS, OK
from dandelionpond_ctl.folder import load_settings, print_json, print_table
from dandelionpond_ctl.user_settings import wants_json


def check(directory: Path, /, *, json: bool | None = None) -> int:
    """Check a folder and report every error with its file, path and reason.

    Parameters
    ----------
    directory
        Folder of published files.
    json
        Print JSON in place of text.
    """
    result = load_settings(directory)
    if isinstance(result, MergedSettings):
        if wants_json(json):
            print_json({"ok": True, "digest": result.digest, "errors": []})
        else:
            print(f"ok {result.digest}")
        return OK
    if wants_json(json):
        print_json({"ok": False, "digest": None, "errors": result})
    else:
        rows = [(error.file, error.path, error.reason) for error in result]
        print_table(("file", "path", "reason"), rows)
    return FINDINGS
