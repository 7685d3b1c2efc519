"""Test the troubles of the grown deployments: each class names one kind."""

import asyncio

from aiohttp import web
from platform_stubs import ROUTES, StubWorker, routing_config
from test_node import app, llm, on_site

# Requests that must show a rule, few enough for a busy machine.
TRIES = 12
MANY_ROUTES = 1_500
STORM = 12


class Flapping(StubWorker):
    """Go down and up by turns at one address."""

    async def down(self):
        await self._site.stop()

    async def up(self):
        host, _, port = self.address.rpartition(":")
        self._site = web.TCPSite(self._runner, host, int(port))
        await self._site.start()

    async def start(self):
        await super().start()
        (self._site,) = self._runner.sites


async def pay(site, number):
    """Send one payment with an identifier of its own; return its status."""
    status, _, _ = await site.ask("/pay/", Dandelionpond_Attempt_Id=f"id{number}")
    return status


class TestLyingHealth:
    def test_ready_worker_that_answers_nobody_is_left(self):
        """Guard against trust in an entry that says ready."""
        liar, honest = app("w1", "reset"), app("w2")

        async def test(site):
            for number in range(TRIES):
                status, _, _ = await site.ask(
                    "/call/", Dandelionpond_Attempt_Id=f"id{number}"
                )
                assert status == 200
            # One failure, and at most a second one once its time is over.
            assert len(liar.requests) <= 2

        on_site(test, liar, honest)

    def test_no_worker_is_probed(self):
        """Guard against work withheld because a health answer is false."""
        worker = app("w1")

        async def test(site):
            await asyncio.sleep(0.5)
            assert worker.requests == []
            assert (await site.ask("/call/"))[0] == 200
            assert [path for _, path, _, _ in worker.requests] == ["/call/"]

        on_site(test, worker)


class TestFlaps:
    def test_payments_go_on_while_a_worker_goes_down_and_up(self):
        """Guard against a payment lost or run twice at a worker that flaps."""
        flapping, steady = Flapping("w1", "app"), app("w2")

        async def test(site):
            for number in range(TRIES):
                if number % 4 == 0:
                    await flapping.down()
                elif number % 4 == 2:
                    await flapping.up()
                assert await pay(site, number) == 200
            runs = flapping.runs + steady.runs
            assert sorted(runs) == sorted(f"id{number}" for number in range(TRIES))

        on_site(test, flapping, steady)

    def test_worker_that_is_up_again_gets_work(self):
        """Guard against a worker that is never tried again."""
        flapping = Flapping("w1", "app")

        async def test(site):
            await flapping.down()
            assert await pay(site, 0) == 503
            await flapping.up()

            async def is_served():
                return (await site.ask("/call/"))[0] == 200

            await site.until(is_served)

        on_site(test, flapping)


class TestIdleConnections:
    def test_none_is_kept(self):
        """Guard against a payment sent on a connection that its worker has dropped."""
        worker = app("w1")

        async def test(site):
            for number in range(3):
                assert await pay(site, number) == 200

                async def is_closed():
                    return worker._runner.server.connections == []

                await site.until(is_closed)
            assert worker.runs == ["id0", "id1", "id2"]

        on_site(test, worker)


class TestManyRoutes:
    def test_first_and_last_of_many_routes_are_served(self):
        """Guard against a document too large to be taken in."""
        more = [(f"r{n}", f"/x{n:04x}/", "idempotent", {}) for n in range(MANY_ROUTES)]
        worker = app("w1")

        async def test(site):
            document = routing_config(2, routes=[*ROUTES, *more])
            site.store.put("op/config", document)

            async def is_served():
                return (await site.ask(more[-1][1]))[0] == 200

            await site.until(is_served)
            assert (await site.ask(more[0][1]))[0] == 200
            assert (await site.ask("/call/"))[0] == 200

        on_site(test, worker)


class TestChangesInQuickSuccession:
    def test_requests_are_served_and_the_last_version_holds(self):
        """Guard against a node that lags or goes back during a series of changes."""

        async def test(site):
            seen = []

            async def ask():
                while True:
                    status, _, _ = await site.ask("/chat/")
                    assert status == 200
                    seen.append(site.node._fleet.keeper.version)

            asking = asyncio.create_task(ask())
            for version in range(2, 2 + STORM):
                site.store.put("op/config", routing_config(version))
                await asyncio.sleep(0.1)

            async def is_last():
                return site.node._fleet.keeper.version == 1 + STORM

            await site.until(is_last)
            assert not asking.done()
            asking.cancel()
            assert seen == sorted(seen)

        on_site(test, app(), llm())
