"""Tests with engines that crash when they begin an answer on a certain prompt part."""

import asyncio

import pytest
from platform_stubs import StubWorker
from test_deployment_faults import FlappingWorker
from test_node import run_on_cluster
from test_similar_systems import EVENTS

CRASHING_PART = "deadbeef"
SHARED_PART = "5c1e07a2"
# Time in seconds until a crashed worker listens again.
RESTART_S = 0.6
WORKER_COUNT = 8
# Requests with a crashing part that may still reach workers once it is known.
MAX_LATER_ARRIVALS = 3


class CrashingWorker(FlappingWorker):
    """An engine that ends all its connections if a prompt contains a crashing part.

    It sends the head of the response first, and listens again after `RESTART_S`.
    """

    crashing_parts = frozenset((CRASHING_PART,))

    def __init__(self, instance):
        super().__init__(instance, "llm")
        self.crashed_requests = []
        self._transports = set()
        self._restarts = set()

    async def _stream(self, request, headers, behavior):
        self._transports.add(request.transport)
        try:
            if self.crashing_parts.isdisjoint(_part_ids(request)):
                return await super()._stream(request, headers, behavior)
            self.crashed_requests.append(request.headers["Dandelionpond-Attempt-Id"])
            await self._crash(request, headers)
            return await asyncio.sleep(RESTART_S)
        finally:
            self._transports.discard(request.transport)

    async def _crash(self, request, headers):
        await self._start_stream(request, headers)
        await asyncio.sleep(0.01)
        await self.stop_listening()
        for transport in self._transports:
            transport.abort()
        self._restarts.add(asyncio.create_task(self._restart()))

    async def _restart(self):
        await asyncio.sleep(RESTART_S)
        await self.start_listening()


def _part_ids(request):
    entries = request.headers.get("Dandelionpond-Prompt-Prefix", "").split(",")
    return [entry.partition(":")[0] for entry in entries]


def prompt_parts(*part_ids):
    return ",".join(f"{part_id}:100" for part_id in part_ids)


async def send_prompt(cluster, name, settings, *part_ids):
    """Send a prompt whose last part is its own and return the HTTP status."""
    own_part = f"{abs(hash(name)) % 2**32:x}"
    status, _, _ = await cluster.fetch(
        "/chat/",
        settings=settings,
        Dandelionpond_Attempt_Id=name,
        Dandelionpond_Token_Count="300,60",
        Dandelionpond_Prompt_Prefix=prompt_parts(*part_ids, own_part),
    )
    return status


def count_arrivals(workers, name_prefix):
    return sum(
        request_id.startswith(name_prefix)
        for worker in workers
        for request_id in worker.crashed_requests
    )


class TestCrashingPart:
    def test_prompts_with_a_part_that_crashes_engines_stop_reaching_them(self):
        """Guard against one prompt part that crashes one engine after another.

        Both nodes must stop sending prompts with the part, also the node that got none
        of those that crashed an engine. Sound prompts with the same first part are
        served all the while.
        """
        workers = [CrashingWorker(f"w{number}") for number in range(WORKER_COUNT)]

        async def scenario(cluster):
            first = cluster.settings
            second, _ = await cluster.start_node("n2", seeds=(first.mesh_address,))
            for number in range(3):
                name = f"early{number}"
                await send_prompt(cluster, name, first, SHARED_PART, CRASHING_PART)
            await asyncio.sleep(RESTART_S + 1.0)
            statuses = []
            for number in range(8):
                settings = (first, second)[number % 2]
                name = f"late{number}"
                statuses.append(
                    await send_prompt(
                        cluster, name, settings, SHARED_PART, CRASHING_PART
                    )
                )
                name = f"sound{number}"
                assert await send_prompt(cluster, name, settings, SHARED_PART) == 200
            assert count_arrivals(workers, "late") <= MAX_LATER_ARRIVALS
            assert statuses[MAX_LATER_ARRIVALS:] == [503] * (8 - MAX_LATER_ARRIVALS)

        run_on_cluster(scenario, *workers)


class UnframedWorker(StubWorker):
    """A worker whose answers have neither a length nor chunks.

    `ending` is how the first answer of all workers ends. With "exit" the process ends
    after two events and does not listen again.
    """

    def __init__(self, instance, service, shared, ending):
        super().__init__(instance, service)
        self._shared = shared
        self._ending = ending

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(
            line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line
        )
        fields = {name.lower(): value for name, value in fields.items()}
        await reader.readexactly(int(fields.get(b"content-length", b"0")))
        self.requests.append(head)
        is_first = not self._shared
        self._shared.append(self.instance)
        writer.write(
            b"HTTP/1.1 200 OK\r\nDandelionpond-Server-Stamp: s\r\n"
            b"Dandelionpond-Attempt-Id: %s\r\n\r\n"
            % fields[b"dandelionpond-attempt-id"]
        )
        first = int(fields.get(b"last-event-id", b"0")) + 1
        pieces = [b"id: %d\ndata: x\n\n" % number for number in range(first, 7)]
        if is_first and "exit" in self._ending:
            pieces = pieces[:2]
        if is_first and "nothing" in self._ending:
            pieces = []
        if is_first and "inside" in self._ending:
            pieces[-1] = pieces[-1][:5]
        writer.write(b"".join(pieces))
        if is_first and "exit" in self._ending:
            self._server.close()
        await writer.drain()
        writer.close()


class TestAnswersWithoutLength:
    """Answers that end with their connection."""

    @pytest.mark.parametrize(
        "ending", ["complete", "exit", "exit inside an event", "nothing"]
    )
    def test_stream_that_was_broken_off_is_completed(self, ending):
        """Guard against taking the end of a crashed engine's stream as complete."""
        shared = []
        workers = [UnframedWorker(name, "llm", shared, ending) for name in ("e1", "e2")]

        async def scenario(cluster):
            status, _, body = await cluster.fetch(
                "/chat/", Dandelionpond_Token_Count="100,100"
            )
            assert (status, body) == (200, EVENTS)
            assert len(shared) == (1 if ending == "complete" else 2)

        run_on_cluster(scenario, *workers)

    @pytest.mark.parametrize("ending", ["complete", "exit"])
    def test_call_that_was_broken_off_is_repeated(self, ending):
        """Guard against passing on the first part of a crashed worker's answer."""
        shared = []
        workers = [UnframedWorker(name, "app", shared, ending) for name in ("w1", "w2")]

        async def scenario(cluster):
            status, _, body = await cluster.fetch("/call/")
            assert (status, body) == (200, EVENTS)
            assert len(shared) == (1 if ending == "complete" else 2)

        run_on_cluster(scenario, *workers)
