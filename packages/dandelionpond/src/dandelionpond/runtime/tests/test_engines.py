"""Test that `Engines` cleans up prompts whose callers leave."""

import asyncio
from types import SimpleNamespace

from dandelionpond.clock import ManualClock
from dandelionpond.config.local import LocalSettings
from dandelionpond.routing.messages import DispatchRequest
from dandelionpond.runtime.core import Core, new_identity
from dandelionpond.runtime.engines import Engines
from dandelionpond_standins.example_settings import ACCOUNT, MODEL, ExampleSettings


class TestEngines:
    def test_caller_leaves_before_placement_is_delivered(self, tmp_path):
        """An abandoned prompt must not stay counted as in flight.

        Its task is cancelled after the prompt was placed but before the task resumed.
        """

        folder = ExampleSettings(failure_domains=1).write(tmp_path / "settings")
        files = {path.name: path.read_bytes() for path in folder.iterdir()}

        async def run():
            address = "127.0.0.1:1"
            local = LocalSettings(
                "a", "fd1", address, address, address, "http://a", "0" * 64
            )
            core = Core(local, new_identity("a"), ManualClock())
            engines = Engines(core, SimpleNamespace(listeners=[]))
            core.offer_settings(1, files)
            names = engines.dispatcher.engines
            for name in names:
                engines.dispatcher.router.set_membership_state(name, "ejected")
            request = DispatchRequest(
                "r", ACCOUNT, 1.0, MODEL, 10, 5, core.now() + 60.0
            )
            placing = asyncio.create_task(engines.place(request))
            await asyncio.sleep(0)
            assert engines.dispatcher.in_flight == 0
            for name in names:
                engines.dispatcher.router.set_membership_state(name, "live")
            # The end of another prompt places this one; its task has not resumed yet.
            engines.finish("other", 0, 0.0)
            assert engines.dispatcher.in_flight == 1
            placing.cancel()
            await asyncio.gather(placing, return_exceptions=True)
            in_flight = engines.dispatcher.in_flight
            await core.tasks.cancel()
            await engines.close()
            return placing.cancelled(), in_flight

        assert asyncio.run(run()) == (True, 0)
