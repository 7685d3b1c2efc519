"""Test the platform stand-in and its store, and the platform client against it."""

import asyncio
import json
import subprocess
import sys

import aiohttp
import pytest

from dandelionpond.adapters.platform import (
    Folder,
    HttpPlatformClient,
    PlatformFault,
    read_folder,
)
from dandelionpond.clock import ManualClock
from dandelionpond.membership.messages import Vm
from dandelionpond_standins.platform_store import PlatformStore

VM = Vm("e1", "engine", "127.0.0.1:1", "a", "live")


class TestPlatformStore:
    @pytest.fixture
    def store(self, tmp_path):
        (tmp_path / "10-a.json").write_bytes(b"{}")
        return PlatformStore(tmp_path, ManualClock())

    def test_each_change_is_one_revision(self, store, tmp_path):
        """A change must give exactly one new revision, and no change none.

        Otherwise readers would miss a change, or read all files again for nothing.
        """
        assert store.list_files("") == {
            "revision": 1,
            "files": {"settings/10-a.json": 1},
        }
        assert not store.scan()
        store.put("20-b.json", b"[]")
        assert store.read("settings/20-b.json") == (b"[]", 2)
        assert store.read("settings/10-a.json") == (b"{}", 1)
        store.delete("10-a.json")
        assert store.list_files("settings/")["files"] == {"settings/20-b.json": 2}
        assert not store.put("../x", b"")

    def test_freeze_step_back_and_renumber(self, store):
        """Tests of stale or renumbered settings rely on these faults taking effect."""
        store.freeze(True)
        store.put("20-b.json", b"[]")
        assert (store.revision, store.newest_revision) == (1, 2)
        store.freeze(False)
        assert store.revision == 2
        assert store.step_back(1)
        assert store.revision == 1
        assert not store.step_back(99)
        store.renumber(0)
        store.put("30-c.json", b"[]")
        assert store.revision == 1

    def test_vm_list_lags(self, tmp_path):
        """A change of a VM must not be listed before the lag has passed."""
        clock = ManualClock()
        store = PlatformStore(tmp_path, clock)
        store.vm_lag_s = 5.0
        store.set_vm(VM)
        assert store.vms().vms == ()
        clock.advance(5.0)
        assert store.vms().vms == (VM,)

    def test_busiest_second(self, tmp_path):
        """Tests of the platform's load rely on the maximum of calls in one second.

        Calls are counted per second of the clock: three of four are in the first one.
        """
        clock = ManualClock()
        store = PlatformStore(tmp_path, clock)
        for step in (0.1, 0.1, 0.9, 0.1):
            store.count_call("list")
            clock.advance(step)
        assert store.counters() == {
            "calls": {"list": 4},
            "total": 4,
            "max_per_second": 3,
        }


class TestProcess:
    def test_read_watch_and_control(self, tmp_path):
        """The platform client and the stand-in must use the same protocol."""
        (tmp_path / "10-a.json").write_bytes(b'{"a": 1}')
        module = "dandelionpond_standins.platform"
        command = [sys.executable, "-m", module, "--port", "0", "--folder", tmp_path]
        env = {"PYTHONPATH": ":".join(path for path in sys.path if path)}
        with subprocess.Popen(command, stdout=subprocess.PIPE, env=env) as process:
            try:
                started = json.loads(process.stdout.readline())
                assert started["role"] == "platform"
                assert started["pid"] == process.pid
                asyncio.run(self._check_client("http://" + started["address"]))
            finally:
                process.terminate()

    async def _check_client(self, base_url):
        async with (
            HttpPlatformClient(base_url, 10.0) as client,
            aiohttp.ClientSession() as control,
        ):
            folder = (await read_folder(client, "settings/", Folder(0, {}))).ok
            assert folder.files == {"10-a.json": b'{"a": 1}'}
            watch = asyncio.create_task(client.watch("settings/", 1, 20.0))
            await control.put(base_url + "/control/files/20-b.json", data=b"{}")
            assert (await watch).ok.revision == 2
            folder = (await read_folder(client, "settings/", folder)).ok
            assert sorted(folder.files) == ["10-a.json", "20-b.json"]
            vm = {"name": "e1", "role": "engine", "address": "127.0.0.1:1"}
            vm |= {"failure_domain": "a", "state": "live"}
            await control.post(base_url + "/control/vms", json=[vm])
            assert (await client.list_vms()).ok.vms == (VM,)
            await control.post(base_url + "/control/state", json={"mode": "down"})
            refused = await client.list_files("settings/")
            assert refused.error.fault is PlatformFault.STATUS
            counters = await (await control.get(base_url + "/control/counters")).json()
            # Two folder reads with one list and one value each, one watch, one read of
            # the VMs and the refused list.
            assert counters["total"] == 7
