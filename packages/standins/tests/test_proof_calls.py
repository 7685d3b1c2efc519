"""Prove with real processes that a call runs at most once and `not_run` is true."""

import asyncio
import json
import random
import signal
from collections import Counter

from dandelionpond.requests.pause_detector import SETTLE_S
from dandelionpond_standins.client import get_ticket, send_call
from dandelionpond_standins.example_settings import (
    KEY,
    ORDER,
    OTHER_KEY,
    PAYMENT,
    STOCK,
    ExampleSettings,
)
from dandelionpond_standins.relay import Rule
from dandelionpond_standins.stack_helpers import (
    caller_urls,
    count_executions,
    run_stack,
    wait_until,
)

SEED = 20_261
TIMEOUT_S = 0.5
SERVICES = {
    PAYMENT: {"states_not_run": True, "timeout_s": TIMEOUT_S},
    STOCK: {"idempotent": True, "timeout_s": 5.0},
    ORDER: {"deduplicates": True},
    "slow": {"states_not_run": True, "timeout_s": 8.0},
}
# What the first try and a second one through another node may answer, and how often
# the worker may run the body, for each fault of the worker.
FAULTS = {
    "reset_before": ("upstream_failed", 0),
    "reset_after": ("upstream_failed", 1),
    "silence": ("upstream_failed", 1),
    "delay": ("upstream_failed", 1),
    "wrong_id": ("upstream_invalid", 1),
    "truncated": ("upstream_invalid", 1),
    "garbage": ("upstream_invalid", 1),
    "duplicate": ("", 1),
    "error_500": ("", 1),
}


def sample(**sections):
    """Return settings without engines and with services for these cases."""
    upstreams = {
        f"{domain}-service-1": {
            "kind": "service",
            "failure_domain": domain,
            "url": "http://127.0.0.1:1",
            "services": list(SERVICES),
        }
        for domain in ("fd1", "fd2", "fd3")
    }
    given = {"services": SERVICES, "upstreams": upstreams} | sections
    return ExampleSettings(engines_per_domain=0, sections=given)


async def set_fault(stack, name, calls=1, seconds=1.0, domains=("fd1", "fd2", "fd3")):
    """Set a fault on the workers of some failure domains."""
    fault = {"fault": name, "calls": calls, "seconds": seconds}
    for domain in domains:
        await stack.control(stack.services[f"{domain}-service-1"], "faults", fault)


async def clear_faults(stack):
    """Remove the faults of all workers."""
    for child in stack.services.values():
        await stack.session.delete(f"{child.url}/control/faults")


async def ran(stack, body):
    """Return how often the workers ran a body."""
    return (await count_executions(stack)).get(body.decode(), 0)


async def started(stack, body):
    """Wait until a worker has run a body that it has not answered yet."""

    async def is_there():
        return await ran(stack, body) > 0

    await wait_until(is_there)


class TestWorkerFaults:
    def test_second_try_through_another_node(self, tmp_path):
        """Guard against a second execution or a wrong statement after a fault."""

        async def scenario(stack):
            urls, found = caller_urls(stack), {}

            async def call(index, body, ticket, service=PAYMENT):
                return await send_call(
                    stack.session, urls[index], KEY, service, body, ticket
                )

            for name in FAULTS:
                body = name.encode()
                ticket = await get_ticket(stack.session, urls[0], KEY, PAYMENT)
                await set_fault(stack, name)
                found[name] = [
                    *[await call(index, body, ticket) for index in (1, 2, 0)],
                    await ran(stack, body),
                ]
                await clear_faults(stack)
            # The worker states that it did not run the call: the node may repeat it.
            ticket = await get_ticket(stack.session, urls[0], KEY, PAYMENT)
            await set_fault(stack, "not_run", calls=100)
            refused = [await call(index, b"refused", ticket) for index in (1, 2)]
            refused_ran = await ran(stack, b"refused")
            await clear_faults(stack)
            later = await call(2, b"refused", ticket)
            later_ran = await ran(stack, b"refused")

            ticket = await get_ticket(stack.session, urls[0], KEY, PAYMENT)
            await call(1, b"bound", ticket)
            misuse = {
                "body": await call(2, b"other body", ticket),
                "service": await call(2, b"bound", ticket, "slow"),
                "forged": await call(1, b"forged", ticket[:-4] + "AAAA"),
                "damaged": await call(1, b"forged", ticket[:-40]),
                "plain": await call(0, b"plain", "my-key"),
                "plain again": await call(1, b"plain", "my-key"),
                "no key": await call(1, b"no key", None),
            }
            counters = await stack.call_operator_api("fd1-node-1", "/v1/dump")
            counts = await count_executions(stack)
            url = f"{stack.services['fd1-service-1'].url}/control/executions"
            async with stack.session.get(url) as response:
                found["types"] = (await response.json())["by_type"]
            return (
                found,
                refused,
                refused_ran,
                later,
                later_ran,
                misuse,
                counts,
                (counters["counters"]),
            )

        found, refused, refused_ran, later, later_ran, misuse, counts, counters = (
            run_stack(tmp_path, scenario, sample())
        )
        for name, (error, most) in FAULTS.items():
            *tries, count = found[name]
            assert count <= most, (name, found[name])
            assert [one.error for one in tries] == [error] * 3, (name, tries)
            if error:
                assert {one.execution for one in tries} == {"may_have_run"}, name
            else:
                assert [one.repeated for one in tries] == [False, True, True]
                assert len({one.body for one in tries}) == 1
        # The node that forwards a call passes the type of its body on.
        assert list(found["types"]) == ["application/octet-stream"]
        assert [one.execution for one in refused] == ["not_run", "not_run"]
        assert refused_ran == 0
        assert (later.status, later_ran) == (200, 1)
        assert {name: one.error for name, one in misuse.items()} == {
            "body": "ticket_mismatch",
            "service": "ticket_mismatch",
            "forged": "key_not_ticket",
            "damaged": "key_not_ticket",
            "plain": "key_not_ticket",
            "plain again": "key_not_ticket",
            "no key": "ticket_required",
        }
        assert counts["bound"] == 1
        assert not {"other body", "forged", "plain", "no key"} & counts.keys()
        # An operator sees the outcomes of the calls that this node ran.
        assert counters["calls"]["may_have_run"] >= 7
        assert counters["calls"]["not_run"] >= 2


class TestCallInProgress:
    def test_later_tries_get_the_outcome_of_the_first(self, tmp_path):
        """Guard against a try that is told `call_in_progress` and has to guess."""

        async def scenario(stack):
            urls, found = caller_urls(stack), {}

            async def call(index, body, ticket, timeout_s=10.0):
                return await send_call(
                    stack.session, urls[index], KEY, "slow", body, ticket, timeout_s
                )

            async def ticket():
                return await get_ticket(stack.session, urls[0], KEY, "slow")

            # Several tries at once, one of them with a deadline before the outcome.
            await set_fault(stack, "delay", seconds=1.0, domains=["fd1"])
            one = await ticket()
            found["at once"] = await asyncio.gather(
                *(call(index, b"at once", one) for index in (0, 1, 2, 1))
            )
            await set_fault(stack, "delay", seconds=1.5, domains=["fd1"])
            one = await ticket()
            first = asyncio.create_task(call(1, b"short", one))
            await started(stack, b"short")
            found["short"] = [await call(2, b"short", one, 0.3), await first]

            # The caller disconnects and tries again through another node.
            await set_fault(stack, "delay", seconds=1.0, domains=["fd1"])
            one = await ticket()
            first = asyncio.create_task(call(1, b"left", one))
            await started(stack, b"left")
            first.cancel()
            found["left"] = [await call(2, b"left", one)]

            # The node that forwarded the call dies; the issuer learns the outcome.
            await set_fault(stack, "delay", seconds=1.0, domains=["fd1"])
            one = await ticket()
            first = asyncio.create_task(call(1, b"died", one))
            await started(stack, b"died")
            stack.nodes["fd2-node-1"].send_signal(signal.SIGKILL)
            await first
            found["died"] = [await call(2, b"died", one), await call(0, b"died", one)]

            dump = await stack.call_operator_api("fd1-node-1", "/v1/dump")
            return found, await count_executions(stack), dump

        found, counts, dump = run_stack(tmp_path, scenario, sample())
        assert [one.status for one in found["at once"]] == [200] * 4, found
        assert len({one.body for one in found["at once"]}) == 1
        assert sum(not one.repeated for one in found["at once"]) == 1
        early, whole = found["short"]
        assert early.execution == "may_have_run"
        assert whole.status == 200
        assert [one.status for one in found["left"]] == [200], found
        assert [one.status for one in found["died"]] == [200, 200], found
        assert counts == dict.fromkeys(["at once", "short", "left", "died"], 1)
        assert dump["counters"]["calls"]["waited"] >= 4


class TestIssuerFaults:
    def test_issuer_dies_pauses_and_is_cut_off(self, tmp_path):
        """Guard against a second run by, or a late run of, an unreachable issuer."""

        async def scenario(stack):
            urls, found = caller_urls(stack), {}

            async def call(index, body, ticket, timeout_s=2.0):
                return await send_call(
                    stack.session, urls[index], KEY, "slow", body, ticket, timeout_s
                )

            async def ticket():
                return await get_ticket(stack.session, urls[0], KEY, "slow")

            issuer = stack.nodes["fd1-node-1"]
            # A partition: the caller tries the other side first, then the issuer's.
            cut, kept = await ticket(), await ticket()
            await stack.partition(["fd1"], Rule(drop="both"))
            found["cut"] = [
                await call(1, b"cut", cut, 0.5),
                await call(0, b"cut", cut),
            ]
            found["cut late"] = [await call(1, b"cut late", kept, 0.5)]
            await stack.heal()
            found["cut"].append(await call(1, b"cut", cut))

            # A pause longer than the deadline of a forwarded call.
            paused = await ticket()
            issuer.send_signal(signal.SIGSTOP)
            found["paused"] = await asyncio.gather(
                *(call(index, b"paused", paused, 0.5) for index in (1, 2))
            )
            await asyncio.sleep(0.5)
            issuer.send_signal(signal.SIGCONT)
            # The issuer answers, so it has read what was sent to it before.
            found["after"] = [await call(0, b"after", await ticket())]
            found["paused ran"] = await ran(stack, b"paused")

            # A pause longer than the ticket lives, with a call running in it.
            await set_fault(stack, "delay", seconds=0.5, domains=["fd1"])
            expiring = await ticket()
            first = asyncio.create_task(call(0, b"expired", expiring, 6.0))
            await started(stack, b"expired")
            issuer.send_signal(signal.SIGSTOP)
            tries = [call(index, b"expired", expiring, 1.0) for index in (1, 2)]
            found["expired"] = await asyncio.gather(*tries)
            await asyncio.sleep(TICKET_TTL_S - 1.0)
            issuer.send_signal(signal.SIGCONT)
            found["expired"] += [await call(1, b"expired", expiring), await first]

            # The issuer dies after it has sent the call, and starts again. Right after
            # a pause it takes calls for as old as the pause.
            await asyncio.sleep(1.5 * SETTLE_S)
            await set_fault(stack, "delay", seconds=2.0, domains=["fd1"])
            lost = await ticket()
            first = asyncio.create_task(call(1, b"died", lost))
            await started(stack, b"died")
            await issuer.stop(signal.SIGKILL)
            found["died"] = [await first, await call(2, b"died", lost)]
            await stack.start_node("fd1-node-1")
            urls[:] = caller_urls(stack)
            found["died"] += [await call(index, b"died", lost) for index in (0, 2)]
            return found, await count_executions(stack)

        requests = {"ticket_ttl_s": TICKET_TTL_S}
        found, counts = run_stack(
            tmp_path, scenario, sample(requests=requests), relayed=True
        )
        outside, inside, healed = found["cut"]
        assert outside.error == "issuer_unreachable"
        assert (inside.status, healed.status, healed.repeated) == (200, 200, True)
        assert found["cut late"][0].execution == "may_have_run"
        assert {one.execution for one in found["paused"]} == {"may_have_run"}
        assert found["after"][0].status == 200
        # The callers' deadline had passed when the issuer woke up.
        assert found["paused ran"] == 0
        assert "not_run" not in {one.execution for one in found["expired"]}
        assert {one.execution for one in found["died"]} == {"may_have_run"}
        assert counts == {"cut": 1, "after": 1, "expired": 1, "died": 1}


TICKET_TTL_S = 6.0


class TestChangedSettings:
    def test_service_stops_being_idempotent(self, tmp_path):
        """Guard against a repeat that was safe when the call was admitted."""

        async def scenario(stack):
            urls = caller_urls(stack)

            async def call(index, body, key):
                return await send_call(
                    stack.session, urls[index], KEY, STOCK, body, key, 10.0
                )

            kept = await get_ticket(stack.session, urls[0], KEY, STOCK)
            before = [
                await call(0, b"plain", "my-key"),
                await call(0, b"ticket", kept),
            ]
            # The worker resets the connection only after the settings have changed.
            for child in stack.services.values():
                await stack.control(child, "faults", {"fault": "silence", "calls": 1})
            running = asyncio.create_task(call(0, b"in flight", None))
            await started(stack, b"in flight")
            revision = max(
                [
                    (await stack.call_operator_api(name, "/v1/status"))[
                        "settings_revision"
                    ]
                    for name in stack.nodes
                ]
            )
            change = {"services": {STOCK: {"idempotent": False}}}
            (stack.published_folder / "99-z-change.json").write_text(json.dumps(change))

            async def is_in_force():
                found = [
                    await stack.call_operator_api(name, "/v1/status")
                    for name in stack.nodes
                ]
                return all(one["settings_revision"] > revision for one in found)

            await wait_until(is_in_force)
            stack.services["fd1-service-1"].send_signal(signal.SIGKILL)
            after = [
                await running,
                await call(1, b"plain", "my-key"),
                await call(2, b"none", None),
                await call(1, b"ticket", kept),
            ]
            counts = {}
            for name in ("fd2-service-1", "fd3-service-1"):
                url = f"{stack.services[name].url}/control/executions"
                async with stack.session.get(url) as response:
                    counts |= (await response.json())["by_body"]
            return before, after, counts

        before, after, elsewhere = run_stack(tmp_path, scenario, sample())
        assert [one.status for one in before] == [200, 200]
        flying, plain, none, ticket = after
        assert flying.execution == "may_have_run"
        assert plain.error == "key_not_ticket"
        assert none.error == "ticket_required"
        assert (ticket.status, ticket.repeated) == (200, True)
        # The first worker ran each body once; nothing was repeated on another one.
        assert elsewhere == {}


class TestDeduplicatedService:
    def test_plain_key_of_two_accounts(self, tmp_path):
        """Guard against the answer of one client account given to another."""

        async def scenario(stack):
            urls = caller_urls(stack)

            async def call(index, body, key, account_key=KEY):
                return await send_call(
                    stack.session, urls[index], account_key, ORDER, body, key
                )

            await set_fault(stack, "reset_after", domains=["fd1"])
            mine = [await call(index, b"mine", "order-1") for index in (0, 1, 2)]
            other = await call(1, b"other", "order-1", OTHER_KEY)
            ticket = await get_ticket(stack.session, urls[0], KEY, ORDER)
            tickets = await asyncio.gather(
                *(call(index, b"ticket", ticket) for index in (0, 1, 2))
            )
            none = await call(0, b"none", None)
            return mine, other, tickets, none, await count_executions(stack)

        options = {"service_arguments": ("--deduplicate",)}
        # One worker: the stand-ins do not share the keys that they have seen.
        upstreams = {"fd2-service-1": None, "fd3-service-1": None}
        settings = sample()
        document = settings.sections["upstreams"]
        for name in upstreams:
            del document[name]
        found = run_stack(
            tmp_path,
            scenario,
            ExampleSettings(
                engines_per_domain=0, services_per_domain=0, sections=settings.sections
            ),
            **options,
        )
        mine, other, tickets, none, counts = found
        assert [one.execution for one in mine] == ["may_have_run", "ran", "ran"]
        assert mine[1].body == mine[2].body
        assert other.status == 200
        assert other.body != mine[1].body
        assert len({one.body for one in tickets}) == 1
        assert none.error == "ticket_required"
        assert counts == {"mine": 1, "other": 1, "ticket": 1}


class TestRandomFaults:
    def test_two_hundred_payments(self, tmp_path):
        """Guard against a combination of faults that no single case has."""
        source = random.Random(SEED)
        kinds = [*FAULTS, "not_run", "leaving"]

        async def scenario(stack):
            urls, told = caller_urls(stack), {}
            done = asyncio.Event()

            async def pay(number):
                body = f"payment-{number}".encode()
                service = source.choice([PAYMENT, "slow"])
                issuer = source.choice(urls)
                plan = [
                    (source.choice(urls), source.uniform(0.3, 2.0)) for _ in range(4)
                ]
                async with lanes:
                    ticket = ""
                    try:
                        async with asyncio.timeout(2.0):
                            ticket = await get_ticket(
                                stack.session, issuer, KEY, service
                            )
                    except (TimeoutError, OSError):
                        pass
                    answers = told[body.decode()] = []
                    if not ticket:
                        return
                    # Two tries at once, then two more.
                    tries = [
                        send_call(
                            stack.session, url, KEY, service, body, ticket, timeout_s
                        )
                        for url, timeout_s in plan
                    ]
                    try:
                        async with asyncio.timeout(4.0):
                            answers += await asyncio.gather(*tries[:2])
                            answers.append(await tries[2])
                            answers.append(await tries[3])
                    except TimeoutError:
                        # The caller gives up and no longer knows anything.
                        answers.append(None)
                    finally:
                        for one in tries:
                            one.close()

            async def disturb():
                while not done.is_set():
                    await asyncio.sleep(source.uniform(0.02, 0.1))
                    event = source.choice(
                        ["fault", "fault", "fault", "refuse", "reset", "pause", "cut"]
                    )
                    domain = source.choice(["fd1", "fd2", "fd3"])
                    match event:
                        case "fault":
                            await set_fault(
                                stack,
                                source.choice(kinds),
                                source.randint(1, 4),
                                source.uniform(0.1, 1.0),
                                [domain],
                            )
                        case "refuse":
                            await clear_faults(stack)
                            await set_fault(stack, "not_run", 12)
                        case "reset":
                            for relay in stack.relays_between([f"{domain}-node-1"]):
                                relay.reset()
                        case "pause":
                            node = stack.nodes[f"{domain}-node-1"]
                            node.send_signal(signal.SIGSTOP)
                            await asyncio.sleep(source.uniform(0.1, 1.0))
                            node.send_signal(signal.SIGCONT)
                        case "cut":
                            await stack.partition([domain], Rule(drop="both"))
                            await asyncio.sleep(source.uniform(0.1, 0.6))
                            await stack.heal()

            lanes = asyncio.Semaphore(12)
            disturbing = asyncio.create_task(disturb())
            await asyncio.gather(*(pay(number) for number in range(200)))
            done.set()
            await disturbing
            return told, await count_executions(stack)

        told, counts = run_stack(tmp_path, scenario, sample(), relayed=True)
        assert len(told) == 200
        assert [body for body, count in counts.items() if count > 1] == []
        statements = Counter()
        for body, answers in told.items():
            if answers and all(
                one is not None and one.execution == "not_run" for one in answers
            ):
                assert counts.get(body, 0) == 0, (body, answers)
            bodies = {one.body for one in answers if one and one.status == 200}
            assert len(bodies) <= 1, (body, answers)
            statements.update(one.execution if one else "gone" for one in answers)
            if any(one and one.status == 200 for one in answers):
                assert counts[body] == 1
        # The run means something only if all three statements were given.
        assert {"ran", "may_have_run", "not_run"} <= statements.keys(), statements
