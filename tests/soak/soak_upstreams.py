"""Run upstreams that remember what they ran and fail on command."""

import asyncio
import hashlib
from collections import Counter, defaultdict

from aiohttp import web

ATTEMPT_ID = "Dandelionpond-Attempt-Id"
STAMP = "Dandelionpond-Server-Stamp"
NOT_EXECUTED = "Dandelionpond-Not-Executed"
# Time in seconds between two events of a stream.
EVENT_S = 0.02
# Longest time in seconds that the fault `slow` lets a run take.
SLOW_S = 6.0


def answer_of(attempt):
    """Return the body that a plain upstream answers to an attempt."""
    return hashlib.sha256(attempt.encode()).hexdigest().encode()


def events_of(attempt):
    """Return the data of the events of an attempt's stream; the count varies."""
    digest = hashlib.sha256(attempt.encode()).hexdigest()
    return [f"{digest[:16]}-{number}" for number in range(4 + int(digest[0], 16))]


class Runs:
    """Hold what all upstreams ran, by attempt identifier."""

    def __init__(self):
        self.by_attempt = Counter()
        self.upstreams = defaultdict(set)
        self.open = Counter()
        self.faults = Counter()


class Upstream:
    """Answer requests of one service; `fault` says what happens to the next ones."""

    def __init__(self, instance, service, runs):
        self.instance = instance
        self.service = service
        self.fault = "none"
        self._runs = runs

    async def start(self):
        """Listen on a free port."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1, access_log=None
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.address = self._runner.addresses[0][:2]

    async def stop(self):
        """Close the listener."""
        await self._runner.cleanup()

    async def _answer(self, request):
        await request.read()
        attempt = request.headers[ATTEMPT_ID]
        headers = {ATTEMPT_ID: attempt}
        fault = self.fault
        if fault != "none":
            self._runs.faults[fault] += 1
        if fault == "full":
            headers[NOT_EXECUTED] = "1"
            return web.Response(status=503, headers=headers)
        self._runs.by_attempt[attempt] += 1
        self._runs.upstreams[attempt].add(self.instance)
        self._runs.open[attempt] += 1
        try:
            return await self._run(request, attempt, headers, fault)
        finally:
            self._runs.open[attempt] -= 1

    async def _run(self, request, attempt, headers, fault):
        if fault == "slow":
            await asyncio.sleep(SLOW_S)
        if fault == "reset":
            request.transport.abort()
            return web.Response()
        if fault == "unstamped":
            return web.Response(headers=headers, body=b"of nobody")
        headers[STAMP] = self.instance
        if fault == "error":
            return web.Response(status=500, headers=headers, body=b"failed")
        if fault == "other":
            headers[ATTEMPT_ID] = "of-another"
        if self.service != "llm":
            await asyncio.sleep(EVENT_S)
            return web.Response(headers=headers, body=answer_of(attempt))
        return await self._stream(request, attempt, headers, fault)

    async def _stream(self, request, attempt, headers, fault):
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", 0))
        for number, data in enumerate(events_of(attempt)):
            if number < first:
                continue
            event = f"id: {number + 1}\ndata: {data}\n\n".encode()
            if fault == "cut" and number == first + 2:
                # Part of an event, which must not reach the client.
                await response.write(event[:-9])
                await asyncio.sleep(EVENT_S)
                request.transport.abort()
                return response
            await response.write(event)
            await asyncio.sleep(EVENT_S)
        await response.write_eof()
        return response
