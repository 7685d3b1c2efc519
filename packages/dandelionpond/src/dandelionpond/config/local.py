"""Define and validate the local settings of a node."""

from typing import Annotated

import msgspec
from expression import Error, Ok, Result

Address = Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
]


class Seed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A node that a starting node contacts before it knows its peers."""

    name: str
    peer_address: Address
    failure_domain: str


class LocalSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings that a node needs before it can connect to others.

    Addresses are `IP:port`. `operator_key_hash` is the SHA-256 hash of the operators'
    bearer key, in hexadecimal. `log_level` is a level name of `logging`. `peer_routes`
    and `upstream_routes` map names of peers and upstreams to the addresses or URLs that
    this node uses for them instead of the announced ones. `memory_mb` and
    `max_descriptors` are the memory and the open files that the process may use; what
    client connections may hold and how many there are is derived from them.
    """

    name: str
    failure_domain: str
    caller_address: Address
    operator_address: Address
    peer_address: Address
    platform_url: str
    operator_key_hash: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
    settings_prefix: str = "settings/"
    seeds: tuple[Seed, ...] = ()
    peer_routes: dict[str, Address] = {}
    upstream_routes: dict[str, str] = {}
    log_level: str = "INFO"
    random_seed: int | None = None
    tls_certificate: str | None = None
    tls_private_key: str | None = None
    memory_mb: Annotated[int, msgspec.Meta(ge=32)] = 256
    max_descriptors: Annotated[int, msgspec.Meta(ge=64)] = 1_024


def decode_local_settings(data: bytes) -> Result[LocalSettings, str]:
    """Decode and validate a local settings file; an error is one line of text."""
    try:
        return Ok(msgspec.json.decode(data, type=LocalSettings))
    except msgspec.MsgspecError as error:
        return Error(str(error))
