"""Measure the cost of settings changes against the size of the folder."""

import hashlib
import resource
import time

import msgspec

from dandelionpond.config.state import Accepted, SettingsState
from dandelionpond.identity import Identity
from dandelionpond.peer.messages import FetchRequest
from dandelionpond.peer.translate import fetch_reply_to_proto, fetch_request_to_proto
from dandelionpond.runtime.distribution import build_fetch_reply


class ConfigCost(msgspec.Struct, frozen=True):
    """Report CPU seconds for the first merge and for each one-file change."""

    client_accounts: int
    upstreams: int
    files: int
    total_bytes: int
    first_s: float
    change_s: float
    max_rss_mb: float


class TransferCost(msgspec.Struct, frozen=True):
    """Report the bytes that one change of one file takes between two nodes.

    `list_bytes` is the body of one list of the platform.
    """

    files: int
    changed_bytes: int
    full_request: int
    full_reply: int
    delta_request: int
    delta_reply: int
    list_bytes: int


def account_file(index: int, count: int, per_file: int, weight: float = 1.0) -> bytes:
    """Return one file of client accounts."""
    first = index * per_file
    accounts = {
        f"account-{i:05}": {
            "key_hashes": [hashlib.sha256(f"demo-{i}".encode()).hexdigest()],
            "models": [f"model-{i % 37:02}"],
            "weight": weight,
            "limits": {"tokens_per_s": 1000.0, "concurrency": 100},
        }
        for i in range(first, min(first + per_file, count))
    }
    return msgspec.json.encode({"client_accounts": accounts})


def folder(client_accounts: int, upstreams: int, per_file: int) -> dict[str, bytes]:
    """Return a folder of the given size with 37 models and 8 failure domains."""
    base = {
        "failure_domains": {f"domain-{i}": {} for i in range(8)},
        "models": {
            f"model-{i:02}": {"version": "1", "max_prompt_tokens": 1_000_000}
            for i in range(37)
        },
    }
    files = {"10-base.json": msgspec.json.encode(base)}
    for index in range(-(-client_accounts // per_file)):
        content = account_file(index, client_accounts, per_file)
        files[f"20-accounts-{index:05}.json"] = content
    for index in range(-(-upstreams // per_file)):
        engines = {
            f"engine-{i:05}": {
                "kind": "engine",
                "failure_domain": f"domain-{i % 8}",
                "url": f"http://127.0.0.1:{20_000 + i}",
                "models": [f"model-{i % 37:02}"],
            }
            for i in range(index * per_file, min((index + 1) * per_file, upstreams))
        }
        content = msgspec.json.encode({"upstreams": engines})
        files[f"30-upstreams-{index:05}.json"] = content
    return files


def measure_change(
    client_accounts: int, upstreams: int, per_file: int, changes: int = 20
) -> ConfigCost:
    """Offer a folder, then change one file of accounts at a time."""
    files = folder(client_accounts, upstreams, per_file)
    settings_state = SettingsState()
    start = time.process_time()
    outcome = settings_state.offer(1, files, 0.0)
    first_s = time.process_time() - start
    if not isinstance(outcome, Accepted):
        raise ValueError(f"the measured folder is refused: {outcome}")
    spent = 0.0
    account_files = -(-client_accounts // per_file)
    for change in range(changes):
        index = change % account_files
        content = account_file(index, client_accounts, per_file, 2.0 + change)
        files = {**files, f"20-accounts-{index:05}.json": content}
        start = time.process_time()
        outcome = settings_state.offer(2 + change, files, 0.0)
        spent += time.process_time() - start
        if not isinstance(outcome, Accepted):
            raise ValueError(f"the measured change is refused: {outcome}")
    return ConfigCost(
        client_accounts,
        upstreams,
        len(files),
        sum(map(len, files.values())),
        first_s,
        spent / changes,
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    )


def measure_transfer(
    client_accounts: int, upstreams: int, per_file: int
) -> TransferCost:
    """Change one file and fetch the change from a peer in both forms."""
    files = folder(client_accounts, upstreams, per_file)
    ahead, behind = SettingsState(), SettingsState()
    behind.offer(1, files, 0.0)
    ahead.offer(1, files, 0.0)
    changed = account_file(0, client_accounts, per_file, 2.0)
    ahead.offer(2, {**files, "20-accounts-00000.json": changed}, 0.0)
    sender = Identity("fd1-node-1", 1_700_000_000_000, 1 << 63)
    sizes = []
    for request in (
        FetchRequest(sender, behind.held_hashes()),
        FetchRequest(sender, base_folder_hash=behind.folder_hash),
    ):
        reply = build_fetch_reply(ahead, request)
        sizes.append(fetch_request_to_proto(request).ByteSize())
        sizes.append(fetch_reply_to_proto(reply).ByteSize())
    names = {f"settings/{name}": 12_345 for name in files}
    listed = msgspec.json.encode({"revision": 12_345, "files": names})
    return TransferCost(len(files), len(changed), *sizes, len(listed))


def slope(per_file: int = 50) -> list[ConfigCost]:
    """Measure at a tenth, a third and the whole of the size expected in two years."""
    sizes = [(950, 1_000), (3_167, 3_333), (9_500, 10_000)]
    return [measure_change(a, u, per_file) for a, u in sizes]


if __name__ == "__main__":
    for cost in [*slope(), *slope(per_file=1)]:
        print(msgspec.json.encode(cost).decode())
    print(msgspec.json.encode(measure_transfer(9_500, 10_000, 50)).decode())
