"""Measures how the cost of a settings change grows with the size of the folder."""

import hashlib
import resource
import time

import msgspec

from dandelionpond.config.state import Accepted, SettingsState
from dandelionpond.identity import Identity
from dandelionpond.peer.messages import FetchRequest
from dandelionpond.peer.translate import fetch_reply_to_proto, fetch_request_to_proto
from dandelionpond.runtime.distribution import build_fetch_reply


class SettingsChangeCost(msgspec.Struct, frozen=True):
    """CPU cost of offering one settings folder.

    `first_s` is the CPU time of the first merge and `change_s` the mean CPU time of a
    change of one file, both in seconds.
    """

    client_accounts: int
    upstreams: int
    files: int
    total_bytes: int
    first_s: float
    change_s: float
    max_rss_mb: float


class TransferSizes(msgspec.Struct, frozen=True):
    """Bytes that two nodes exchange after a change of one file.

    The `full` messages list all files by hash. The `delta` messages carry only the
    changes since the folder of the requester. `list_bytes` is the size of the body of
    one list response of the platform.
    """

    files: int
    changed_bytes: int
    full_request: int
    full_reply: int
    delta_request: int
    delta_reply: int
    list_bytes: int


def build_account_file(
    index: int, count: int, per_file: int, weight: float = 1.0
) -> bytes:
    """Return the settings file number `index` of the client accounts.

    The folder has `count` accounts in total and at most `per_file` in each file.
    """
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


def build_folder(
    client_accounts: int, upstreams: int, per_file: int
) -> dict[str, bytes]:
    """Return the files of a settings folder with 37 models and 8 failure domains."""
    base_settings = {
        "failure_domains": {f"domain-{i}": {} for i in range(8)},
        "models": {
            f"model-{i:02}": {"version": "1", "max_prompt_tokens": 1_000_000}
            for i in range(37)
        },
    }
    files = {"10-base.json": msgspec.json.encode(base_settings)}
    for index in range(-(-client_accounts // per_file)):
        content = build_account_file(index, client_accounts, per_file)
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
) -> SettingsChangeCost:
    """Measure the first offer of a folder and changes of one account file at a time."""
    files = build_folder(client_accounts, upstreams, per_file)
    settings_state = SettingsState()
    start = time.process_time()
    outcome = settings_state.offer(1, files, 0.0)
    first_s = time.process_time() - start
    if not isinstance(outcome, Accepted):
        raise ValueError(f"the settings folder was not accepted: {outcome}")
    changes_cpu_s = 0.0
    account_files = -(-client_accounts // per_file)
    for change in range(changes):
        index = change % account_files
        content = build_account_file(index, client_accounts, per_file, 2.0 + change)
        files = {**files, f"20-accounts-{index:05}.json": content}
        start = time.process_time()
        outcome = settings_state.offer(2 + change, files, 0.0)
        changes_cpu_s += time.process_time() - start
        if not isinstance(outcome, Accepted):
            raise ValueError(f"the settings change was not accepted: {outcome}")
    return SettingsChangeCost(
        client_accounts,
        upstreams,
        len(files),
        sum(map(len, files.values())),
        first_s,
        changes_cpu_s / changes,
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    )


def measure_transfer(
    client_accounts: int, upstreams: int, per_file: int
) -> TransferSizes:
    """Measure the messages that fetch a change of one file from a peer.

    The change is fetched once with the full list of file hashes and once as a delta.
    """
    files = build_folder(client_accounts, upstreams, per_file)
    newer_state, older_state = SettingsState(), SettingsState()
    older_state.offer(1, files, 0.0)
    newer_state.offer(1, files, 0.0)
    changed = build_account_file(0, client_accounts, per_file, 2.0)
    newer_state.offer(2, {**files, "20-accounts-00000.json": changed}, 0.0)
    sender = Identity("fd1-node-1", 1_700_000_000_000, 1 << 63)
    sizes = []
    for request in (
        FetchRequest(sender, older_state.held_hashes()),
        FetchRequest(sender, base_folder_hash=older_state.folder_hash),
    ):
        reply = build_fetch_reply(newer_state, request)
        sizes.append(fetch_request_to_proto(request).ByteSize())
        sizes.append(fetch_reply_to_proto(reply).ByteSize())
    revisions = {f"settings/{name}": 12_345 for name in files}
    list_body = msgspec.json.encode({"revision": 12_345, "files": revisions})
    return TransferSizes(len(files), len(changed), *sizes, len(list_body))


def measure_slope(per_file: int = 50) -> list[SettingsChangeCost]:
    """Measure a tenth, a third and all of the folder size expected in two years."""
    sizes = [(950, 1_000), (3_167, 3_333), (9_500, 10_000)]
    return [
        measure_change(accounts, upstreams, per_file) for accounts, upstreams in sizes
    ]


if __name__ == "__main__":
    for cost in [*measure_slope(), *measure_slope(per_file=1)]:
        print(msgspec.json.encode(cost).decode())
    print(msgspec.json.encode(measure_transfer(9_500, 10_000, 50)).decode())
