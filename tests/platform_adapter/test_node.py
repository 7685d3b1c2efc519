"""Test the node between a client, the store and workers, by their protocol."""

import asyncio
import contextlib
import socket
import subprocess
import sys
from pathlib import Path

import aiohttp
import pytest
from platform_stubs import ROUTES, StubStore, StubWorker, routing_config

from dandelionpond.clock import SystemClock
from dandelionpond.entry.process import EntryProcess
from dandelionpond.entry.settings import EntrySettings
from dandelionpond.forwarding.budget import BudgetSettings
from dandelionpond.placement.jobs import Job, Phase
from dandelionpond_platform.headers import PlatformDialect
from dandelionpond_platform.orders import WorkerOrders
from dandelionpond_platform.store import PlatformStore

# Time in seconds in which something must happen at all; no bound of the product.
PATIENCE_S = 20.0


def free_ports(count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]


def entry_settings(name, store_address, seeds=()):
    front, ready, metrics, mesh, fetch = free_ports(5)
    return EntrySettings(
        name=name,
        failure_domain="a",
        front_address=f"127.0.0.1:{front}",
        ready_address=f"127.0.0.1:{ready}",
        metrics_address=f"127.0.0.1:{metrics}",
        mesh_address=f"127.0.0.1:{mesh}",
        fetch_address=f"127.0.0.1:{fetch}",
        store_address=store_address,
        seeds=tuple(seeds),
        grace_s=8.0,
        budget=BudgetSettings(),
        connect_timeout_s=PATIENCE_S,
    )


class Site:
    """Run one node, a store and workers on loopback."""

    def __init__(self, *workers):
        self.store = StubStore()
        self.workers = workers
        self._nodes = []

    async def __aenter__(self):
        await self.store.start()
        self.store.put("op/config", routing_config(1))
        for worker in self.workers:
            await worker.start()
            self.store.put(f"servers/{worker.instance}", worker.entry())
        self.settings, self.node = await self.start_node("n1")
        self.client = aiohttp.ClientSession(auto_decompress=False)
        return self

    async def __aexit__(self, *_):
        await self.client.close()
        for node in self._nodes:
            node.terminate()
            node._exit.done() or node._exit.set_result(0)
            await node.wait()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()

    async def start_node(self, name, store_address=None, seeds=()):
        settings = entry_settings(name, store_address or self.store.address, seeds)
        node = EntryProcess(
            settings,
            PlatformDialect(),
            PlatformStore(settings.store_address),
            WorkerOrders(),
            SystemClock(),
        )
        self._nodes.append(node)
        # A busy machine must not look like a silent worker.
        node._app._calls._expected["app"] = PATIENCE_S
        await node.start()
        if store_address is None:
            await self.until(lambda: self.is_ready(settings))
        return settings, node

    async def is_ready(self, settings):
        url = f"http://{settings.ready_address}/dandelionpond/ready"
        async with aiohttp.ClientSession() as client, client.get(url) as answer:
            return answer.status == 200

    async def until(self, condition):
        async with asyncio.timeout(PATIENCE_S):
            while not await condition():  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    def request(self, path, method="POST", settings=None, **headers):
        sent = {
            "Host": "a.example",
            "Dandelionpond-Attempt-Id": "id1",
            "Dandelionpond-Deadline-Ms": "15000",
            "Dandelionpond-Key": "k1",
        }
        sent.update({name.replace("_", "-"): value for name, value in headers.items()})
        address = (settings or self.settings).front_address
        return self.client.request(
            method, f"http://{address}{path}", headers=sent, data=b"body"
        )

    async def ask(self, path, **fields):
        async with self.request(path, **fields) as answer:
            return answer.status, answer.headers, await answer.read()


def on_site(test, *workers):
    async def run():
        async with Site(*workers) as site:
            await test(site)

    asyncio.run(run())


def app(instance="w1", *plan):
    return StubWorker(instance, "app", plan or ("ok",))


def llm(instance="e1", *plan):
    return StubWorker(instance, "llm", plan or ("ok",))


class TestForwarding:
    def test_request_and_answer_are_unchanged(self):
        """Guard against a changed path, body or answer."""
        worker = app()

        async def test(site):
            status, headers, body = await site.ask("/call/x%2Fy?a=%20b")
            assert (status, body) == (200, b"answer of w1")
            assert headers["Dandelionpond-Server-Stamp"] == "stamp-w1"
            method, path, sent, received = worker.requests[0]
            assert (method, path, received) == ("POST", "/call/x%2Fy?a=%20b", b"body")
            assert sent["Dandelionpond-Tenant"] == "shop"
            assert "Dandelionpond-Key" not in sent
            assert 0 < int(sent["Dandelionpond-Deadline-Ms"]) <= 15000

        on_site(test, worker)

    @pytest.mark.parametrize(
        ("path", "headers", "expected"),
        [
            ("/none/", {}, 404),
            ("/call/", {"Host": "b.example"}, 404),
            ("/call/", {"Dandelionpond_Key": "wrong"}, 401),
        ],
    )
    def test_what_the_configuration_does_not_allow(self, path, headers, expected):
        """Guard against requests that run without a route or a key."""
        worker = app()

        async def test(site):
            assert (await site.ask(path, **headers))[0] == expected
            assert worker.requests == []

        on_site(test, worker)


class TestAttempts:
    @pytest.mark.parametrize(
        "fault", ["reset", "full", "error", "unstamped", "other id"]
    )
    def test_call_that_may_be_repeated_succeeds_elsewhere(self, fault):
        """Guard against a failure that a second worker would mend."""
        workers = app("w1", fault), app("w2", fault, "ok"), app("w3")

        async def test(site):
            # The first worker is chosen at random among equals.
            for number in range(6):
                status, _, body = await site.ask(
                    "/call/", Dandelionpond_Attempt_Id=f"id{number}"
                )
                assert status in (200, 500 if fault == "error" else 200)
                assert body.startswith((b"answer of", b"failed"))

        on_site(test, workers[0], workers[2])

    @pytest.mark.parametrize(
        ("fault", "expected"),
        [("reset", 502), ("error", 500), ("unstamped", 502), ("encoded", 502)],
    )
    def test_payment_runs_once(self, fault, expected):
        """Guard against a payment that is sent twice after it may have run."""
        workers = app("w1", fault), app("w2", fault)

        async def test(site):
            status, headers, _ = await site.ask("/pay/")
            assert status == expected
            assert sum(len(worker.runs) for worker in workers) == 1
            assert "Retry-After" not in headers

        on_site(test, *workers)

    def test_payment_that_was_not_run_is_promised(self):
        """Guard against a 502 that keeps a client from trying again."""
        workers = app("w1", "full"), app("w2", "full")

        async def test(site):
            status, headers, _ = await site.ask("/pay/")
            assert status == 503
            assert float(headers["Retry-After"]) > 0
            assert sum(len(worker.runs) for worker in workers) == 0

        on_site(test, *workers)


class TestStreams:
    def test_broken_stream_goes_on_at_another_engine(self):
        """Guard against a missing, doubled or cut event after a break."""
        engines = llm("e1", "break", "ok"), llm("e2")
        # The first run breaks off, whichever engine gets it.
        engines[1].plan = engines[0].plan

        async def test(site):
            status, headers, body = await site.ask(
                "/chat/", Dandelionpond_Token_Count="100,100"
            )
            assert status == 200
            expected = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 7))
            assert body == expected
            runs = [worker for worker in engines if worker.runs]
            assert len(runs) == 2
            assert headers["Dandelionpond-Server-Stamp"].startswith("stamp-e")

        on_site(test, *engines)

    def test_stream_that_cannot_go_on_never_looks_complete(self):
        """Guard against a cut stream that a client takes for whole."""

        async def test(site):
            with pytest.raises(aiohttp.ClientPayloadError):
                await site.ask("/chat/", Dandelionpond_Token_Count="100,100")

        on_site(test, llm("e1", "break"), llm("e2", "break"))

    def test_silence_without_a_further_try_ends_no_answer(self):
        """Guard against a stream that is cut off because its last engine is slow."""
        engines = llm("e1", "break", "pause"), llm("e2")
        engines[1].plan = engines[0].plan

        async def test(site):
            status, _, body = await site.ask(
                "/chat/", Dandelionpond_Token_Count="100,100"
            )
            assert status == 200
            assert body == b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 7))

        on_site(test, *engines)

    def test_departure_reaches_the_engine(self):
        """Guard against work for a client that has gone."""
        engine = llm("e1", "slow")

        async def test(site):
            with pytest.raises(asyncio.TimeoutError):
                async with asyncio.timeout(0.3):
                    await site.ask("/chat/", Dandelionpond_Token_Count="100,100")
            async with asyncio.timeout(PATIENCE_S):
                await engine.left.wait()

        on_site(test, engine)


class TestHeldPrompts:
    def test_engine_that_leaves_meanwhile_gets_nothing(self):
        """Guard against work for an engine that began to leave during a hold."""
        engines = [llm(f"e{number}") for number in range(4)]

        async def test(site):
            fleet = site.node._fleet
            prompts = site.node._app._prompts
            held = asyncio.Event()

            async def hold(run, planned_s):
                # All engines but one begin to leave while the prompt is held.
                for engine in engines[1:]:
                    site.store.put(
                        f"servers/{engine.instance}", engine.entry("draining")
                    )
                await site.until(is_known)
                held.set()

            async def is_known():
                return not fleet.are_ready([engines[1].instance])

            prompts._hold = hold
            # A peer reads on all engines, so that the prompt has to be held.
            reads = [
                Job(one.instance, Phase.HELPER_PREFILL, 0.0, 0.5) for one in engines
            ]
            fleet.jobs.update_peer("10.0.0.9:1", reads, fleet.now())
            status, _, _ = await site.ask(
                "/chat/", Dandelionpond_Token_Count="150000,100"
            )
            assert held.is_set()
            assert status == 200
            assert [len(engine.runs) for engine in engines] == [1, 0, 0, 0]

        on_site(test, *engines)


class TestConfiguration:
    def test_change_comes_into_force(self):
        """Guard against a node that keeps a dropped route and a revoked key."""

        async def test(site):
            assert (await site.ask("/call/"))[0] == 200
            site.store.put("op/config", routing_config(2, ("k2",), ROUTES[1:]))

            async def is_dropped():
                return (await site.ask("/call/"))[0] == 404

            await site.until(is_dropped)
            assert (await site.ask("/pay/"))[0] == 401
            assert (await site.ask("/pay/", Dandelionpond_Key="k2"))[0] == 200

        on_site(test, app())

    def test_node_that_the_store_refuses_learns_from_a_peer(self):
        """Guard against a node that answers 404 or nothing without the store."""

        async def test(site):
            refused = StubStore()
            refused.fault = 429
            await refused.start()
            alone, _ = await site.start_node("n2", refused.address)
            status, headers, _ = await site.ask("/call/", settings=alone)
            assert status == 503
            assert float(headers["Retry-After"]) > 0
            seeds = [site.settings.mesh_address]
            second, _ = await site.start_node("n3", refused.address, seeds)
            await site.until(lambda: site.is_ready(second))
            assert (await site.ask("/call/", settings=second))[0] == 200
            await refused.stop()

        on_site(test, app())

    def test_leaving_worker_gets_nothing_new(self):
        """Guard against requests for a worker that is about to end."""
        leaving, staying = app("w1"), app("w2")

        async def test(site):
            site.store.put("servers/w1", leaving.entry("draining"))

            async def is_known():
                return not site.node._fleet.are_ready(["w1"])

            await site.until(is_known)
            leaving.requests.clear()
            for _ in range(10):
                assert (await site.ask("/call/"))[0] == 200
            assert leaving.requests == []

        on_site(test, leaving, staying)


class TestShutdown:
    def test_requests_in_flight_end_and_ready_says_no(self):
        """Guard against a planned stop that cuts off an answer."""
        engine = StubWorker("e1", "llm", events=400)

        async def test(site):
            asked = asyncio.create_task(
                site.ask("/chat/", Dandelionpond_Token_Count="100,100")
            )

            async def is_running():
                return bool(engine.runs)

            await site.until(is_running)
            site.node.terminate()
            assert not await site.is_ready(site.settings)
            status, _, body = await asked
            assert status == 200
            assert body.count(b"\n\n") == 400
            async with asyncio.timeout(PATIENCE_S):
                assert await asyncio.shield(site.node._exit) == 0

        on_site(test, engine)


class TestExplain:
    """From the id of a failed request to its cause, as docs/OPERATIONS.md says."""

    def lines_of(self, caplog, request_id):
        return [
            record
            for record in caplog.records
            if getattr(record, "request_id", None) == request_id
        ]

    @pytest.mark.parametrize(
        ("path", "plan", "status", "outcome"),
        [
            ("/call/", "full", 503, "rejected 503"),
            ("/pay/", "reset", 502, "broken"),
            ("/chat/", "break", 200, "broken"),
        ],
        ids=["refused", "unknown payment", "cut off midway"],
    )
    def test_last_attempt_names_the_cause(self, caplog, path, plan, status, outcome):
        """Guard against a complaint that the log cannot explain."""
        caplog.set_level("INFO", "dandelionpond")
        engines = llm("e1", plan), llm("e2", plan)
        workers = app("w1", plan), app("w2", plan)

        async def test(site):
            with contextlib.suppress(aiohttp.ClientPayloadError):
                headers = {"Dandelionpond_Token_Count": "100,100"}
                await site.ask(path, Dandelionpond_Attempt_Id="c0ffee", **headers)

        on_site(test, *engines, *workers)
        [line] = self.lines_of(caplog, "c0ffee")
        assert line.message == "request ended"
        assert line.status == status
        assert line.attempts[-1]["outcome"].startswith(outcome)
        assert line.version == 1 and line.list_age_s >= 0
        assert len(line.attempts) == (1 if path == "/pay/" else 2)

    def test_refused_key_names_the_version(self, caplog):
        """Guard against a 401 that nobody can place in time."""
        caplog.set_level("INFO", "dandelionpond")

        async def test(site):
            await site.ask("/call/", Dandelionpond_Key="wrong")

        on_site(test, app())
        [line] = self.lines_of(caplog, "id1")
        assert (line.message, line.kind, line.version) == (
            "request refused",
            "invalid_key",
            1,
        )


class TestSettingsFile:
    @pytest.mark.parametrize(
        ("text", "expected"),
        [(None, "No such file"), ("Node=x\n", "field Ip is missing")],
    )
    def test_bad_file_ends_the_process_with_one_line(self, tmp_path, text, expected):
        """Guard against a traceback, or a node that runs with half of its settings."""
        path = tmp_path / "local.conf"
        if text is not None:
            path.write_text(text)
        root = Path(__file__).parents[2]
        done = subprocess.run(
            [sys.executable, root / "platform" / "run.py", "node"],
            env={
                "PYTHONPATH": str(root / "packages" / "dandelionpond" / "src"),
                "DANDELIONPOND_CONFIG": str(path),
            },
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert done.returncode != 0
        assert done.stdout == ""
        [line] = done.stderr.splitlines()
        assert line.startswith("dandelionpond: ") and expected in line


class TestLimits:
    def test_body_over_the_published_limit(self):
        """Guard against a client that fills a node's memory."""
        worker = app()

        async def test(site):
            site.store.put("op/config", routing_config(2, MaxBodyBytes=3))

            async def is_refused():
                return (await site.ask("/call/"))[0] == 413

            await site.until(is_refused)
            sent = len(worker.requests)
            status, headers, _ = await site.ask("/call/")
            assert (status, headers["Connection"]) == (413, "close")
            assert len(worker.requests) == sent

        on_site(test, worker)

    def test_body_that_does_not_come(self):
        """Guard against connections that wait for a body for good."""

        async def test(site):
            site.store.put("op/config", routing_config(2, IdleTimeoutMs=300))

            async def answer():
                host, _, port = site.settings.front_address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"POST /call/ HTTP/1.1\r\nHost: a.example\r\n"
                    b"Content-Length: 9\r\n\r\nhalf"
                )
                try:
                    async with asyncio.timeout(2.0):
                        return await reader.read()
                except TimeoutError:
                    return b""
                finally:
                    writer.close()

            async def is_refused():
                return (await answer()).startswith(b"HTTP/1.1 408 ")

            await site.until(is_refused)

        on_site(test, app())

    def test_idle_connections_follow_the_published_limit(self):
        """Guard against a connection closed while its client may still reuse it."""

        async def test(site):
            site.store.put("op/config", routing_config(2, IdleTimeoutMs=120_000))

            async def is_set():
                return site.node._listener._config.timeout_keep_alive == 120

            await site.until(is_set)

        on_site(test, app())


class TestMetrics:
    def test_latency_of_streams_and_calls(self):
        """Guard against operators who see counts and no times."""

        async def test(site):
            for path in ("/call/", "/chat/", "/none/"):
                await site.ask(path)
            url = f"http://{site.settings.metrics_address}/metrics"
            async with site.client.get(url) as answer:
                text = await answer.text()
            for sample in (
                "dandelionpond_call_seconds_count 1.0",
                'dandelionpond_time_to_first_token_seconds_count{length="le_4000"} 1.0',
                'dandelionpond_requests_total{kind="stream",outcome="200"} 1.0',
                'dandelionpond_errors_total{kind="unknown_path"} 1.0',
            ):
                assert sample in text
            assert "dandelionpond_token_gap_seconds_count 0.0" not in text

        on_site(test, app(), llm())
