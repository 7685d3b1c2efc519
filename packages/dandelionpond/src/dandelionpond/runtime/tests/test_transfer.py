"""Test the transfer of settings from one node to another."""

import asyncio

import pytest
from expression import Ok

from dandelionpond.clock import ManualClock
from dandelionpond.config.local import LocalSettings
from dandelionpond.config.state import MAX_RECENT_CHANGES
from dandelionpond.identity import Identity
from dandelionpond.peer import peer_pb2 as pb
from dandelionpond.peer.messages import FetchedFile, FetchReply, FetchRequest
from dandelionpond.peer.translate import (
    fetch_reply_from_proto,
    fetch_reply_to_proto,
    fetch_request_from_proto,
    fetch_request_to_proto,
)
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.distribution import DistributionRunner, build_fetch_reply

MODEL = b'{"models":{"m":{"version":"%d","max_prompt_tokens":1000}}}'
SENDER = Identity("a", 1, 2)


def make_core(revision, files):
    """Return the core of a node with the given settings."""
    local = LocalSettings(
        "a",
        "d",
        "127.0.0.1:1",
        "127.0.0.1:2",
        "127.0.0.1:3",
        "http://127.0.0.1:4",
        "0" * 64,
    )
    core = Core(local, SENDER, ManualClock())
    core.offer_settings(revision, files)
    return core


class FakePeerClient:
    """A client that answers from a `SettingsState` in protobuf and counts bytes."""

    def __init__(self, settings_state):
        self.settings_state, self.requests, self.bytes = settings_state, [], 0

    async def fetch_settings(self, address, request):
        sent = fetch_request_to_proto(request)
        received = fetch_request_from_proto(pb.FetchRequest.FromString(encode(sent)))
        reply = fetch_reply_to_proto(build_fetch_reply(self.settings_state, received))
        self.requests.append(received)
        self.bytes += sent.ByteSize() + reply.ByteSize()
        return Ok(fetch_reply_from_proto(pb.FetchReply.FromString(encode(reply))))


def encode(message):
    """Return a message in its protobuf encoding."""
    return message.SerializeToString()


def transfer(behind, settings_state):
    """Fetch the settings in `settings_state`; return the files and the peer client."""
    peers = FakePeerClient(settings_state)
    runner = DistributionRunner(behind, None, peers, lambda name: name, None)

    async def run():
        return runner._assemble_files(await runner._request_changes("b"))

    return asyncio.run(run()), peers


def make_folder(version, other_files=200):
    """Return a folder with one model version and many other files."""
    files = {f"50-{index:03}.json": b"{}" for index in range(other_files)}
    return {"10-m.json": MODEL % version, "20-old.json": b"{}"} | files


class TestDelta:
    def test_only_changes_are_sent(self):
        """A change must not transfer the names and hashes of all files."""
        behind, ahead = make_core(1, make_folder(1)), make_core(1, make_folder(1))
        new_files = make_folder(2)
        del new_files["20-old.json"]
        ahead.offer_settings(2, new_files)
        files, peers = transfer(behind, ahead.settings_state)
        assert files == new_files
        assert len(peers.requests) == 1
        assert peers.bytes < 600

    def test_edit_of_a_large_file_is_sent_as_difference(self):
        """A change of one value must not transfer the whole file."""
        text = ",".join(
            f'"m{index:05}":{{"version":"{index}","max_prompt_tokens":9}}'
            for index in range(400)
        )
        original = b'{"models":{%s}}' % text.encode()
        changed = original.replace(b'"200"', b'"changed"')
        behind, ahead = (
            make_core(1, {"10-m.json": original}),
            make_core(1, {"10-m.json": original}),
        )
        ahead.offer_settings(2, {"10-m.json": original.replace(b'"100"', b'"first"')})
        ahead.offer_settings(3, {"10-m.json": changed, "20-y.json": b"{}"})
        files, peers = transfer(behind, ahead.settings_state)
        assert files == {"10-m.json": changed, "20-y.json": b"{}"}
        assert peers.bytes < 800 < len(original)

    def test_unknown_base_falls_back_to_hashes(self):
        """A node must catch up after more changes than its peer remembers."""
        behind, ahead = make_core(1, make_folder(1)), make_core(1, make_folder(1))
        for step in range(2, MAX_RECENT_CHANGES + 3):
            ahead.offer_settings(step, make_folder(step))
        files, peers = transfer(behind, ahead.settings_state)
        assert files == make_folder(MAX_RECENT_CHANGES + 2)
        assert [bool(request.held_hashes) for request in peers.requests] == [0, 1]

    def test_new_node_requests_all_files(self):
        """A node without settings must request all files, not changes."""
        files, peers = transfer(
            make_core(0, {}), make_core(4, make_folder(1)).settings_state
        )
        assert files == make_folder(1)
        assert peers.requests == [FetchRequest(SENDER)]

    @pytest.mark.parametrize(
        "reply",
        [
            FetchReply(2, (), "another", "folder"),
            FetchReply(2, (FetchedFile("10-m.json", "h", b"{}"),), "base", "folder"),
            FetchReply(2, (FetchedFile("10-m.json", "h", b"{}", "no"),), "base", "f"),
        ],
    )
    def test_inconsistent_changes_are_refused(self, reply):
        """Changes must not be applied to a folder that they were not made for."""
        behind = make_core(1, make_folder(1))
        base = behind.settings_state.folder_hash
        if reply.base_folder_hash == "base":
            reply = FetchReply(2, reply.files, base, "folder")
        runner = DistributionRunner(behind, None, None, None, None)
        assert runner._assemble_files(reply) is None
