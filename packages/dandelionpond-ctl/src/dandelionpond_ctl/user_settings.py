"""Read the user's settings of `dandelionpondctl`, merged into its defaults."""

from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import json_merge_patch  # type: ignore[import-untyped]
import msgspec
import platformdirs

from dandelionpond_ctl.exit_codes import USAGE
from dandelionpond_ctl.folder import CommandError

USER_SETTINGS_FILE_NAME = "ctl.json"


class UserSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of one user; the defaults are in `defaults.json`.

    `nodes` are URLs of operators' addresses and `nodes_file` a file with one on each
    line; `key_file` holds the operators' bearer key and `ca_file` the certificates
    that nodes are verified with, in PEM. `timeout_s` bounds one request in seconds,
    `max_parallel` the requests at once. `output` is the form without `--json`.
    """

    nodes: tuple[str, ...]
    nodes_file: str | None
    key_file: str | None
    ca_file: str | None
    timeout_s: Annotated[float, msgspec.Meta(gt=0)]
    max_parallel: Annotated[int, msgspec.Meta(gt=0)]
    output: Literal["table", "json"]


def user_settings_path() -> Path:
    """Return the path of the user's settings in the platform's config directory."""
    return (
        platformdirs.user_config_path("dandelionpond", appauthor=False)
        / USER_SETTINGS_FILE_NAME
    )


def load_user_settings() -> UserSettings:
    """Merge the user's file, if there is one, into the defaults (RFC 7396).

    Raises `CommandError` if the file cannot be read or is invalid.
    """
    defaults = resources.files("dandelionpond_ctl").joinpath("defaults.json")
    document = msgspec.json.decode(defaults.read_bytes())
    path = user_settings_path()
    try:
        text = path.read_bytes()
    except FileNotFoundError:
        text = b"{}"
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", USAGE) from error
    try:
        patch = msgspec.json.decode(text, type=dict)
        # A null in a merge patch removes the value, but every field needs one; so null
        # keeps the default.
        overrides = {key: value for key, value in patch.items() if value is not None}
        merged = json_merge_patch.merge(document, overrides)
        return msgspec.convert(merged, UserSettings)
    except msgspec.MsgspecError as error:
        raise CommandError(f"{path}: {error}", USAGE) from error


def wants_json(json: bool | None) -> bool:
    """Return whether to print JSON; the user's settings decide without an option."""
    return load_user_settings().output == "json" if json is None else json
