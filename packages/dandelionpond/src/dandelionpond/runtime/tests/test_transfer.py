"""Test how settings pass from one node to another."""

import asyncio

import pytest
from expression import Ok

from dandelionpond.clock import ManualClock
from dandelionpond.config.keeper import MAX_STEPS
from dandelionpond.config.local import LocalSettings
from dandelionpond.identity import Identity
from dandelionpond.peer import peer_pb2 as pb
from dandelionpond.peer.messages import FetchedFile, FetchReply, FetchRequest
from dandelionpond.peer.translate import (
    fetch_reply_from,
    fetch_reply_to,
    fetch_request_from,
    fetch_request_to,
)
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.distribution import DistributionRunner, fetch_reply

MODEL = b'{"models":{"m":{"version":"%d","max_prompt_tokens":1000}}}'
SENDER = Identity("a", 1, 2)


def core(revision, files):
    """Return the core of a node with settings in force."""
    local = LocalSettings(
        "a",
        "d",
        "127.0.0.1:1",
        "127.0.0.1:2",
        "127.0.0.1:3",
        "http://127.0.0.1:4",
        "0" * 64,
    )
    made = Core(local, SENDER, ManualClock())
    made.offer_settings(revision, files)
    return made


class Wire:
    """Answer from a keeper through the protobuf form and note both sizes."""

    def __init__(self, keeper):
        self.keeper, self.requests, self.bytes = keeper, [], 0

    async def fetch_settings(self, address, request):
        sent = fetch_request_to(request)
        received = fetch_request_from(pb.FetchRequest.FromString(bytes_of(sent)))
        reply = fetch_reply_to(fetch_reply(self.keeper, received))
        self.requests.append(received)
        self.bytes += sent.ByteSize() + reply.ByteSize()
        return Ok(fetch_reply_from(pb.FetchReply.FromString(bytes_of(reply))))


def bytes_of(message):
    """Return the bytes that go over the wire."""
    return message.SerializeToString()


def transfer(behind, keeper):
    """Fetch from a keeper and return the files and the wire."""
    wire = Wire(keeper)
    runner = DistributionRunner(behind, None, wire, lambda name: name, None)

    async def run():
        return runner._assemble(await runner._fetch_reply("b"))

    return asyncio.run(run()), wire


def folder(version, others=200):
    """Return a folder with one model version and many other files."""
    files = {f"50-{index:03}.json": b"{}" for index in range(others)}
    return {"10-m.json": MODEL % version, "20-old.json": b"{}"} | files


class TestDelta:
    def test_only_changes_are_sent(self):
        """Guard against hashes and names of all files for each change."""
        behind, ahead = core(1, folder(1)), core(1, folder(1))
        wanted = folder(2)
        del wanted["20-old.json"]
        ahead.offer_settings(2, wanted)
        files, wire = transfer(behind, ahead.keeper)
        assert files == wanted
        assert len(wire.requests) == 1
        assert wire.bytes < 600

    def test_one_edit_of_a_file_costs_little(self):
        """Guard against a whole file for each change of one value."""
        text = ",".join(
            f'"m{index:05}":{{"version":"{index}","max_prompt_tokens":9}}'
            for index in range(400)
        )
        one = b'{"models":{%s}}' % text.encode()
        wanted = one.replace(b'"200"', b'"changed"')
        behind, ahead = core(1, {"10-m.json": one}), core(1, {"10-m.json": one})
        ahead.offer_settings(2, {"10-m.json": one.replace(b'"100"', b'"first"')})
        ahead.offer_settings(3, {"10-m.json": wanted, "20-y.json": b"{}"})
        files, wire = transfer(behind, ahead.keeper)
        assert files == {"10-m.json": wanted, "20-y.json": b"{}"}
        assert wire.bytes < 800 < len(one)

    def test_unknown_base_falls_back_to_hashes(self):
        """Guard against a node that stays behind after many changes."""
        behind, ahead = core(1, folder(1)), core(1, folder(1))
        for step in range(2, MAX_STEPS + 3):
            ahead.offer_settings(step, folder(step))
        files, wire = transfer(behind, ahead.keeper)
        assert files == folder(MAX_STEPS + 2)
        assert [bool(request.held_hashes) for request in wire.requests] == [0, 1]

    def test_new_node_takes_the_full_form(self):
        """Guard against a node without settings that asks for changes."""
        files, wire = transfer(core(0, {}), core(4, folder(1)).keeper)
        assert files == folder(1)
        assert wire.requests == [FetchRequest(SENDER)]

    @pytest.mark.parametrize(
        "reply",
        [
            FetchReply(2, (), "another", "folder"),
            FetchReply(2, (FetchedFile("10-m.json", "h", b"{}"),), "base", "folder"),
            FetchReply(2, (FetchedFile("10-m.json", "h", b"{}", "no"),), "base", "f"),
        ],
    )
    def test_changes_that_do_not_fit_are_refused(self, reply):
        """Guard against a mixture of two folders."""
        behind = core(1, folder(1))
        base = behind.keeper.folder_hash
        if reply.base_folder_hash == "base":
            reply = FetchReply(2, reply.files, base, "folder")
        runner = DistributionRunner(behind, None, None, None, None)
        assert runner._assemble(reply) is None
