"""Tests for faults and loads seen in large deployments; one class for each kind."""

import asyncio

from aiohttp import web
from platform_stubs import ROUTES, StubWorker, routing_config
from test_node import app_worker, entry_settings, llm_worker, run_on_cluster

# Number of requests of a test: enough to show a pattern, few enough for a busy machine.
REQUEST_COUNT = 12
ROUTE_COUNT = 1_500
CHANGE_COUNT = 12


class FlappingWorker(StubWorker):
    """A worker that can stop and restart listening on the same address."""

    async def stop_listening(self):
        await self._site.stop()

    async def start_listening(self):
        host, _, port = self.address.rpartition(":")
        self._site = web.TCPSite(self._runner, host, int(port))
        await self._site.start()

    async def start(self):
        await super().start()
        (self._site,) = self._runner.sites


async def send_payment(cluster, number):
    """Send one payment with its own request ID and return the HTTP status."""
    status, _, _ = await cluster.fetch("/pay/", Dandelionpond_Attempt_Id=f"id{number}")
    return status


class TestFalseReadiness:
    def test_failing_worker_with_ready_entry_is_avoided(self):
        """A worker that fails requests must be avoided even if its entry is ready."""
        failing, healthy = app_worker("w1", "reset"), app_worker("w2")

        async def scenario(cluster):
            for number in range(REQUEST_COUNT):
                status, _, _ = await cluster.fetch(
                    "/call/", Dandelionpond_Attempt_Id=f"id{number}"
                )
                assert status == 200
            # One failed request, and at most one more when the worker is tried again.
            assert len(failing.requests) <= 2

        run_on_cluster(scenario, failing, healthy)

    def test_workers_are_not_probed(self):
        """Workers must not be probed: a wrong result would withhold requests."""
        worker = app_worker("w1")

        async def scenario(cluster):
            await asyncio.sleep(0.5)
            assert worker.requests == []
            assert (await cluster.fetch("/call/"))[0] == 200
            assert [path for _, path, _, _ in worker.requests] == ["/call/"]

        run_on_cluster(scenario, worker)


class TestFlappingWorkers:
    def test_payments_succeed_while_a_worker_goes_down_and_up(self):
        """A flapping worker must not cause a payment to be lost or run twice."""
        flapping, healthy = FlappingWorker("w1", "app"), app_worker("w2")

        async def scenario(cluster):
            for number in range(REQUEST_COUNT):
                if number % 4 == 0:
                    await flapping.stop_listening()
                elif number % 4 == 2:
                    await flapping.start_listening()
                assert await send_payment(cluster, number) == 200
            executed_ids = flapping.executed_ids + healthy.executed_ids
            assert sorted(executed_ids) == sorted(
                f"id{number}" for number in range(REQUEST_COUNT)
            )

        run_on_cluster(scenario, flapping, healthy)

    def test_worker_that_is_back_receives_requests(self):
        """A worker must be tried again after it was unreachable."""
        flapping = FlappingWorker("w1", "app")

        async def scenario(cluster):
            await flapping.stop_listening()
            assert await send_payment(cluster, 0) == 503
            await flapping.start_listening()

            async def is_answered():
                return (await cluster.fetch("/call/"))[0] == 200

            await cluster.wait_until(is_answered)

        run_on_cluster(scenario, flapping)


class TestIdleConnections:
    def test_connections_are_not_reused(self):
        """A payment must not be sent on an idle connection the worker has closed."""
        worker = app_worker("w1")

        async def scenario(cluster):
            for number in range(3):
                assert await send_payment(cluster, number) == 200

                async def is_closed():
                    return worker._runner.server.connections == []

                await cluster.wait_until(is_closed)
            assert worker.executed_ids == ["id0", "id1", "id2"]

        run_on_cluster(scenario, worker)


class TestManyRoutes:
    def test_first_and_last_of_many_routes_are_served(self):
        """A document with many routes must not be too large to be accepted."""
        extra_routes = [
            (f"r{n}", f"/x{n:04x}/", "idempotent", {}) for n in range(ROUTE_COUNT)
        ]
        worker = app_worker("w1")

        async def scenario(cluster):
            document = routing_config(2, routes=[*ROUTES, *extra_routes])
            cluster.store.put("op/config", document)

            async def is_answered():
                return (await cluster.fetch(extra_routes[-1][1]))[0] == 200

            await cluster.wait_until(is_answered)
            assert (await cluster.fetch(extra_routes[0][1]))[0] == 200
            assert (await cluster.fetch("/call/"))[0] == 200

        run_on_cluster(scenario, worker)


class TestRapidChanges:
    def test_requests_are_served_and_the_last_version_holds(self):
        """During rapid changes, a node must not fall behind or go back in version."""

        async def scenario(cluster):
            versions = []

            async def send_continuously():
                while True:
                    status, _, _ = await cluster.fetch("/chat/")
                    assert status == 200
                    versions.append(cluster.node._fleet.published.version)

            sending = asyncio.create_task(send_continuously())
            for version in range(2, 2 + CHANGE_COUNT):
                cluster.store.put("op/config", routing_config(version))
                await asyncio.sleep(0.1)

            async def is_last():
                return cluster.node._fleet.published.version == 1 + CHANGE_COUNT

            await cluster.wait_until(is_last)
            assert not sending.done()
            sending.cancel()
            assert versions == sorted(versions)

        run_on_cluster(scenario, app_worker(), llm_worker())


class TestEnginesCrashTogether:
    """Several engines crash at once while long prompts use them as helpers."""

    def test_dead_helpers_use_up_no_attempt(self):
        """A prompt must not be refused because its placements named dead helpers."""
        engines = [llm_worker(f"e{number}") for number in range(8)]

        async def send_long_prompt(cluster):
            for engine in engines:
                engine.requests.clear()
            status, _, _ = await cluster.fetch(
                "/chat/", Dandelionpond_Token_Count="150000,100"
            )
            assert status == 200
            requests = [request for engine in engines for request in engine.requests]
            return [
                headers["Dandelionpond-Helpers"].split(",")
                for _, _, headers, _ in requests
            ]

        async def scenario(cluster):
            [helpers] = await send_long_prompt(cluster)
            dead = set(helpers[:2])
            for engine in engines:
                if engine.address in dead:
                    await engine.stop()
            for helpers in await send_long_prompt(cluster):
                assert not dead & set(helpers)

        run_on_cluster(scenario, *engines)


class TestAllNodesStartTogether:
    """Clients that come back while all nodes are still without settings."""

    def test_request_of_the_first_moments_is_served(self):
        """A refusal would use up the client's retry although settings come at once."""

        async def scenario(cluster):
            # A node that is not awaited: its first read of the store is still to come.
            settings = entry_settings("n2", cluster.store.address)
            node = await cluster.start_unready_node(settings)
            assert not node._fleet.published.is_complete
            status, _, _ = await cluster.fetch("/call/", settings=settings)
            assert status == 200

        run_on_cluster(scenario, app_worker())

    def test_request_is_refused_at_once_if_the_store_is_down(self):
        """Settings that are not coming must not be waited for by each request."""

        async def scenario(cluster):
            cluster.store.fault = 503
            settings = entry_settings("n2", cluster.store.address)
            node = await cluster.start_unready_node(settings)

            async def has_failed():
                return node._sync.counters["failed_reads"] > 0

            await cluster.wait_until(has_failed)
            assert node._fleet.published.is_old_trusted
            status, _, _ = await cluster.fetch("/call/", settings=settings)
            assert status == 503

        run_on_cluster(scenario, app_worker())
