"""Test what tries of one ticket tell each other."""

import asyncio
from types import SimpleNamespace

import pytest
from expression import Error, Ok

from dandelionpond.clock import SystemClock
from dandelionpond.config.local import LocalSettings
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.http.gateway import CallRequest
from dandelionpond.peer.messages import ForwardedCall
from dandelionpond.requests.messages import Outcome
from dandelionpond.runtime.accounts import Accounts
from dandelionpond.runtime.calls import CallRunner
from dandelionpond.runtime.core import Core, new_identity
from dandelionpond_standins.sample import ACCOUNT, PAYMENT, Sample
from dandelionpond_standins.scenario import wait_until


class Client:
    """Answer each attempt with the next result, once it is let go."""

    def __init__(self, results):
        self.results = list(results)
        self.sent = 0
        self.go = asyncio.Event()

    async def call(self, request, may_send, on_leaving=None):
        assert may_send()
        self.sent += 1
        await self.go.wait()
        return self.results.pop(0)


class World:
    """Hold a runner whose service has one worker."""

    def __init__(self, folder, results, **requests):
        self.client = Client(results)
        address = "127.0.0.1:1"
        local = LocalSettings(
            "a", "fd1", address, address, address, "http://a", "0" * 64
        )
        self.core = Core(local, new_identity("a"), SystemClock())
        states = SimpleNamespace(state_of=lambda name: "live")
        gossip = SimpleNamespace(
            upstreams=states,
            upstream_trusted=lambda name: None,
            upstream_suspected=lambda name: None,
        )
        accounts = Accounts(self.core)
        self.runner = CallRunner(self.core, accounts, gossip, None, self.client)
        sample = Sample(
            failure_domains=1,
            sections={"requests": {"max_attempts": 1} | requests},
        )
        for path in sorted(sample.write(folder).iterdir()):
            self.files = getattr(self, "files", {}) | {path.name: path.read_bytes()}
        self.core.offer_settings(1, self.files)

    def ticket(self):
        return self.runner.issue_ticket(ACCOUNT, PAYMENT).ok.ticket

    def run(self, ticket, timeout_s=30.0):
        deadline = self.core.now() + timeout_s
        request = CallRequest("r", ACCOUNT, PAYMENT, ticket, b"x", "a/b", deadline)
        return asyncio.ensure_future(self.runner.run(request))

    async def until(self, condition):
        async def holds():
            return condition()

        await wait_until(holds)


NOT_RUN = Error(Failure(ErrorKind.UPSTREAM_REFUSED, "the service refused it"))
RAN = Ok(Outcome(200, b"paid"))


class TestTriesOfOneTicket:
    @pytest.mark.parametrize(
        "results, executions, sent",
        [
            # The first try ran: the others get its outcome.
            ([RAN], ["ran", "ran", "ran"], 1),
            # The first try did not run: a waiting one runs in its stead.
            ([NOT_RUN, RAN], ["not_run", "ran", "ran"], 2),
        ],
    )
    def test_waiting_tries(self, tmp_path, results, executions, sent):
        """Guard against two runs at once, and against a try that waits for nothing."""

        async def scenario():
            world = World(tmp_path, results)
            ticket = world.ticket()
            first = world.run(ticket)
            await world.until(lambda: world.client.sent == 1)
            others = [world.run(ticket) for _ in range(2)]
            await world.until(lambda: world.runner.counters.waited == 2)
            world.client.go.set()
            answers = await asyncio.gather(first, *others)
            await world.core.tasks.cancel()
            return answers, world.client.sent

        answers, found = asyncio.run(scenario())
        assert found == sent
        told = ["ran" if one.is_ok() else one.error.execution for one in answers]
        assert told == executions

    def test_try_waits_no_longer_than_its_deadline(self, tmp_path):
        """Guard against a try that ends with the first one instead of in time."""

        async def scenario():
            world = World(tmp_path, [RAN])
            ticket = world.ticket()
            first = world.run(ticket)
            await world.until(lambda: world.client.sent == 1)
            late = await world.run(ticket, 0.05)
            world.client.go.set()
            answers = late, await first
            await world.core.tasks.cancel()
            return answers

        late, first = asyncio.run(scenario())
        assert late.error.kind is ErrorKind.CALL_IN_PROGRESS
        assert first.is_ok()

    def test_full_node_refuses(self, tmp_path):
        """Guard against calls beyond `max_in_flight`, and against a false `not_run`."""

        async def scenario():
            world = World(tmp_path, [RAN], max_in_flight=1)
            first = world.run(world.ticket())
            await world.until(lambda: world.client.sent == 1)
            refused = await world.run(None), await world.run(world.ticket())
            world.client.go.set()
            await first
            await world.core.tasks.cancel()
            return refused, world.runner.counters.refused_full

        (without_key, with_key), count = asyncio.run(scenario())
        assert without_key.error.kind is ErrorKind.OVERLOADED
        assert without_key.error.retry_after_s
        # Nobody looked the ticket up, so an earlier try may have run.
        assert with_key.error.kind is ErrorKind.KEY_UNRESOLVED
        assert count == 2

    def test_issuer_no_longer_knows_the_service(self, tmp_path):
        """Guard against `not_run` for a ticket that ran before the service went."""

        async def scenario():
            world = World(tmp_path, [RAN])
            ticket = world.ticket()
            world.client.go.set()
            assert (await world.run(ticket)).is_ok()
            gone = {"99-gone.json": b'{"services": {"payment": null}}'}
            upstream = b'{"upstreams": {"fd1-service-1": {"services": ["stock"]}}}'
            world.core.offer_settings(2, world.files | gone | {"98-up.json": upstream})
            assert PAYMENT not in world.core.settings.services
            call = ForwardedCall(
                world.core.identity, ticket, ACCOUNT, PAYMENT, "", b"x", 30.0, "r"
            )
            outcome = await world.runner.run_forwarded(call)
            await world.core.tasks.cancel()
            return outcome

        assert asyncio.run(scenario()).error is ErrorKind.KEY_UNRESOLVED
