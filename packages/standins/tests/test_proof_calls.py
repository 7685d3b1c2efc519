"""Process tests: a call runs at most once, and `not_run` means that it did not run."""

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
# For each fault of the worker: the error code that every try returns, and how often the
# worker may run the body at most.
FAULT_OUTCOMES = {
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


def service_settings(**sections):
    """Return settings without engines and with the services that the tests call."""
    upstreams = {
        f"{domain}-service-1": {
            "kind": "service",
            "failure_domain": domain,
            "url": "http://127.0.0.1:1",
            "services": list(SERVICES),
        }
        for domain in ("fd1", "fd2", "fd3")
    }
    all_sections = {"services": SERVICES, "upstreams": upstreams} | sections
    return ExampleSettings(engines_per_domain=0, sections=all_sections)


async def set_fault(stack, name, calls=1, seconds=1.0, domains=("fd1", "fd2", "fd3")):
    """Inject a fault into the next `calls` calls to the workers of some domains."""
    fault = {"fault": name, "calls": calls, "seconds": seconds}
    for domain in domains:
        await stack.control(stack.services[f"{domain}-service-1"], "faults", fault)


async def clear_faults(stack):
    """Remove the faults of all workers."""
    for child in stack.services.values():
        await stack.session.delete(f"{child.url}/control/faults")


async def executions_of(stack, body):
    """Return how often all workers together ran a body."""
    return (await count_executions(stack)).get(body.decode(), 0)


async def wait_until_executed(stack, body):
    """Wait until a worker has run a body; a fault can delay its answer further."""

    async def is_executed():
        return await executions_of(stack, body) > 0

    await wait_until(is_executed)


class TestWorkerFaults:
    def test_second_try_through_another_node(self, tmp_path):
        """A call must not run twice when it is retried after a worker fault.

        The retries go through other nodes. The statement to the caller, `may_have_run`
        or `not_run`, must be true for each fault.
        """

        async def scenario(stack):
            urls, results = caller_urls(stack), {}

            async def call(index, body, ticket, service=PAYMENT):
                return await send_call(
                    stack.session, urls[index], KEY, service, body, ticket
                )

            for name in FAULT_OUTCOMES:
                body = name.encode()
                ticket = await get_ticket(stack.session, urls[0], KEY, PAYMENT)
                await set_fault(stack, name)
                results[name] = [
                    *[await call(index, body, ticket) for index in (1, 2, 0)],
                    await executions_of(stack, body),
                ]
                await clear_faults(stack)
            # The worker states `not_run`, so a node may send the call again.
            ticket = await get_ticket(stack.session, urls[0], KEY, PAYMENT)
            await set_fault(stack, "not_run", calls=100)
            refused = [await call(index, b"refused", ticket) for index in (1, 2)]
            refused_executions = await executions_of(stack, b"refused")
            await clear_faults(stack)
            retried = await call(2, b"refused", ticket)
            retried_executions = await executions_of(stack, b"refused")

            ticket = await get_ticket(stack.session, urls[0], KEY, PAYMENT)
            await call(1, b"bound", ticket)
            misuse_results = {
                "body": await call(2, b"other body", ticket),
                "service": await call(2, b"bound", ticket, "slow"),
                "forged": await call(1, b"forged", ticket[:-4] + "AAAA"),
                "damaged": await call(1, b"forged", ticket[:-40]),
                "plain": await call(0, b"plain", "my-key"),
                "plain again": await call(1, b"plain", "my-key"),
                "no key": await call(1, b"no key", None),
            }
            dump = await stack.call_operator_api("fd1-node-1", "/v1/dump")
            executions = await count_executions(stack)
            url = f"{stack.services['fd1-service-1'].url}/control/executions"
            async with stack.session.get(url) as response:
                results["types"] = (await response.json())["by_type"]
            return (
                results,
                refused,
                refused_executions,
                retried,
                retried_executions,
                misuse_results,
                executions,
                dump["counters"],
            )

        (
            results,
            refused,
            refused_executions,
            retried,
            retried_executions,
            misuse_results,
            executions,
            counters,
        ) = run_stack(tmp_path, scenario, service_settings())
        for name, (expected_error, max_executions) in FAULT_OUTCOMES.items():
            *tries, execution_count = results[name]
            assert execution_count <= max_executions, (name, results[name])
            assert [result.error for result in tries] == [expected_error] * 3, (
                name,
                tries,
            )
            if expected_error:
                assert {result.execution for result in tries} == {"may_have_run"}, name
            else:
                assert [result.repeated for result in tries] == [False, True, True]
                assert len({result.body for result in tries}) == 1
        # A node that forwards a call passes on its content type.
        assert list(results["types"]) == ["application/octet-stream"]
        assert [result.execution for result in refused] == ["not_run", "not_run"]
        assert refused_executions == 0
        assert (retried.status, retried_executions) == (200, 1)
        assert {name: result.error for name, result in misuse_results.items()} == {
            "body": "ticket_mismatch",
            "service": "ticket_mismatch",
            "forged": "key_not_ticket",
            "damaged": "key_not_ticket",
            "plain": "key_not_ticket",
            "plain again": "key_not_ticket",
            "no key": "ticket_required",
        }
        assert executions["bound"] == 1
        assert not {"other body", "forged", "plain", "no key"} & executions.keys()
        # The node's dump counts the outcomes of the calls that it ran.
        assert counters["calls"]["may_have_run"] >= 7
        assert counters["calls"]["not_run"] >= 2


class TestCallInProgress:
    def test_later_tries_get_the_outcome_of_the_first(self, tmp_path):
        """Later tries must wait for the running call and get its outcome.

        A try that is refused with `call_in_progress` leaves its caller without the
        outcome.
        """

        async def scenario(stack):
            urls, results = caller_urls(stack), {}

            async def call(index, body, ticket, timeout_s=10.0):
                return await send_call(
                    stack.session, urls[index], KEY, "slow", body, ticket, timeout_s
                )

            async def new_ticket():
                return await get_ticket(stack.session, urls[0], KEY, "slow")

            # Four tries at once.
            await set_fault(stack, "delay", seconds=1.0, domains=["fd1"])
            ticket = await new_ticket()
            results["at once"] = await asyncio.gather(
                *(call(index, b"at once", ticket) for index in (0, 1, 2, 1))
            )

            # A second try whose deadline is before the outcome.
            await set_fault(stack, "delay", seconds=1.5, domains=["fd1"])
            ticket = await new_ticket()
            first = asyncio.create_task(call(1, b"short", ticket))
            await wait_until_executed(stack, b"short")
            results["short"] = [await call(2, b"short", ticket, 0.3), await first]

            # The caller disconnects and tries again through another node.
            await set_fault(stack, "delay", seconds=1.0, domains=["fd1"])
            ticket = await new_ticket()
            first = asyncio.create_task(call(1, b"left", ticket))
            await wait_until_executed(stack, b"left")
            first.cancel()
            results["left"] = [await call(2, b"left", ticket)]

            # The node that forwarded the call dies. The issuer still gets the outcome.
            await set_fault(stack, "delay", seconds=1.0, domains=["fd1"])
            ticket = await new_ticket()
            first = asyncio.create_task(call(1, b"died", ticket))
            await wait_until_executed(stack, b"died")
            stack.nodes["fd2-node-1"].send_signal(signal.SIGKILL)
            await first
            results["died"] = [
                await call(2, b"died", ticket),
                await call(0, b"died", ticket),
            ]

            dump = await stack.call_operator_api("fd1-node-1", "/v1/dump")
            return results, await count_executions(stack), dump

        results, executions, dump = run_stack(tmp_path, scenario, service_settings())
        assert [result.status for result in results["at once"]] == [200] * 4, results
        assert len({result.body for result in results["at once"]}) == 1
        assert sum(not result.repeated for result in results["at once"]) == 1
        timed_out, completed = results["short"]
        assert timed_out.execution == "may_have_run"
        assert completed.status == 200
        assert [result.status for result in results["left"]] == [200], results
        assert [result.status for result in results["died"]] == [200, 200], results
        assert executions == dict.fromkeys(["at once", "short", "left", "died"], 1)
        assert dump["counters"]["calls"]["waited"] >= 4


class TestIssuerFaults:
    def test_issuer_dies_pauses_and_is_cut_off(self, tmp_path):
        """An unreachable issuer must run a call neither twice nor after its deadline.

        The issuer is cut off, paused for longer than a deadline and than the lifetime
        of a ticket, and killed while a call runs.
        """

        async def scenario(stack):
            urls, results = caller_urls(stack), {}

            async def call(index, body, ticket, timeout_s=2.0):
                return await send_call(
                    stack.session, urls[index], KEY, "slow", body, ticket, timeout_s
                )

            async def new_ticket():
                return await get_ticket(stack.session, urls[0], KEY, "slow")

            issuer = stack.nodes["fd1-node-1"]
            # A partition: the caller tries the other side, then the issuer's side.
            cut_ticket, late_ticket = await new_ticket(), await new_ticket()
            await stack.partition(["fd1"], Rule(drop="both"))
            results["cut"] = [
                await call(1, b"cut", cut_ticket, 0.5),
                await call(0, b"cut", cut_ticket),
            ]
            results["cut late"] = [await call(1, b"cut late", late_ticket, 0.5)]
            await stack.heal()
            results["cut"].append(await call(1, b"cut", cut_ticket))

            # A pause longer than the deadline of a forwarded call.
            paused_ticket = await new_ticket()
            issuer.send_signal(signal.SIGSTOP)
            results["paused"] = await asyncio.gather(
                *(call(index, b"paused", paused_ticket, 0.5) for index in (1, 2))
            )
            await asyncio.sleep(0.5)
            issuer.send_signal(signal.SIGCONT)
            # The issuer answers this call, so it has read the earlier messages as well.
            results["after"] = [await call(0, b"after", await new_ticket())]
            results["paused ran"] = await executions_of(stack, b"paused")

            # A pause longer than the lifetime of the ticket, while a call with it runs.
            await set_fault(stack, "delay", seconds=0.5, domains=["fd1"])
            expiring_ticket = await new_ticket()
            first = asyncio.create_task(call(0, b"expired", expiring_ticket, 6.0))
            await wait_until_executed(stack, b"expired")
            issuer.send_signal(signal.SIGSTOP)
            tries = [call(index, b"expired", expiring_ticket, 1.0) for index in (1, 2)]
            results["expired"] = await asyncio.gather(*tries)
            await asyncio.sleep(TICKET_TTL_S - 1.0)
            issuer.send_signal(signal.SIGCONT)
            results["expired"] += [
                await call(1, b"expired", expiring_ticket),
                await first,
            ]

            # The issuer is killed after it has sent the call, and starts again. First
            # comes a wait, because for SETTLE_S after a pause a node assumes that the
            # calls it reads arrived when the pause began.
            await asyncio.sleep(1.5 * SETTLE_S)
            await set_fault(stack, "delay", seconds=2.0, domains=["fd1"])
            died_ticket = await new_ticket()
            first = asyncio.create_task(call(1, b"died", died_ticket))
            await wait_until_executed(stack, b"died")
            await issuer.stop(signal.SIGKILL)
            results["died"] = [await first, await call(2, b"died", died_ticket)]
            await stack.start_node("fd1-node-1")
            urls[:] = caller_urls(stack)
            results["died"] += [
                await call(index, b"died", died_ticket) for index in (0, 2)
            ]
            return results, await count_executions(stack)

        requests = {"ticket_ttl_s": TICKET_TTL_S}
        results, executions = run_stack(
            tmp_path, scenario, service_settings(requests=requests), relayed=True
        )
        other_side, issuer_side, healed = results["cut"]
        assert other_side.error == "issuer_unreachable"
        assert (issuer_side.status, healed.status, healed.repeated) == (200, 200, True)
        assert results["cut late"][0].execution == "may_have_run"
        assert {result.execution for result in results["paused"]} == {"may_have_run"}
        assert results["after"][0].status == 200
        # The callers' deadlines had passed when the issuer continued.
        assert results["paused ran"] == 0
        assert "not_run" not in {result.execution for result in results["expired"]}
        assert {result.execution for result in results["died"]} == {"may_have_run"}
        assert executions == {"cut": 1, "after": 1, "expired": 1, "died": 1}


TICKET_TTL_S = 6.0


class TestChangedSettings:
    def test_service_stops_being_idempotent(self, tmp_path):
        """A call must not be repeated once its service is no longer idempotent.

        The service was idempotent when the node admitted the call, and the connection
        to the worker is lost after the setting has changed.
        """

        async def scenario(stack):
            urls = caller_urls(stack)

            async def call(index, body, key):
                return await send_call(
                    stack.session, urls[index], KEY, STOCK, body, key, 10.0
                )

            ticket = await get_ticket(stack.session, urls[0], KEY, STOCK)
            results_before = [
                await call(0, b"plain", "my-key"),
                await call(0, b"ticket", ticket),
            ]
            # The workers do not answer the call in flight. Its connection is lost when
            # the worker is killed, after the settings have changed.
            for child in stack.services.values():
                await stack.control(child, "faults", {"fault": "silence", "calls": 1})
            running = asyncio.create_task(call(0, b"in flight", None))
            await wait_until_executed(stack, b"in flight")
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

            async def is_in_effect():
                statuses = [
                    await stack.call_operator_api(name, "/v1/status")
                    for name in stack.nodes
                ]
                return all(
                    status["settings_revision"] > revision for status in statuses
                )

            await wait_until(is_in_effect)
            stack.services["fd1-service-1"].send_signal(signal.SIGKILL)
            results_after = [
                await running,
                await call(1, b"plain", "my-key"),
                await call(2, b"none", None),
                await call(1, b"ticket", ticket),
            ]
            executions = {}
            for name in ("fd2-service-1", "fd3-service-1"):
                url = f"{stack.services[name].url}/control/executions"
                async with stack.session.get(url) as response:
                    executions |= (await response.json())["by_body"]
            return results_before, results_after, executions

        results_before, results_after, other_executions = run_stack(
            tmp_path, scenario, service_settings()
        )
        assert [result.status for result in results_before] == [200, 200]
        in_flight, plain, no_key, ticket = results_after
        assert in_flight.execution == "may_have_run"
        assert plain.error == "key_not_ticket"
        assert no_key.error == "ticket_required"
        assert (ticket.status, ticket.repeated) == (200, True)
        # The first worker, now dead, ran the bodies; no other worker repeated them.
        assert other_executions == {}


class TestDeduplicatedService:
    def test_plain_key_of_two_accounts(self, tmp_path):
        """Equal plain keys of two client accounts must not share an answer."""

        async def scenario(stack):
            urls = caller_urls(stack)

            async def call(index, body, key, account_key=KEY):
                return await send_call(
                    stack.session, urls[index], account_key, ORDER, body, key
                )

            await set_fault(stack, "reset_after", domains=["fd1"])
            first_account = [
                await call(index, b"mine", "order-1") for index in (0, 1, 2)
            ]
            second_account = await call(1, b"other", "order-1", OTHER_KEY)
            ticket = await get_ticket(stack.session, urls[0], KEY, ORDER)
            ticket_results = await asyncio.gather(
                *(call(index, b"ticket", ticket) for index in (0, 1, 2))
            )
            no_key = await call(0, b"none", None)
            return (
                first_account,
                second_account,
                ticket_results,
                no_key,
                await count_executions(stack),
            )

        options = {"service_arguments": ("--deduplicate",)}
        # A single worker, because the stand-ins do not share the keys they have seen.
        removed_upstreams = {"fd2-service-1": None, "fd3-service-1": None}
        settings = service_settings()
        upstreams = settings.sections["upstreams"]
        for name in removed_upstreams:
            del upstreams[name]
        outcome = run_stack(
            tmp_path,
            scenario,
            ExampleSettings(
                engines_per_domain=0, services_per_domain=0, sections=settings.sections
            ),
            **options,
        )
        first_account, second_account, ticket_results, no_key, executions = outcome
        assert [result.execution for result in first_account] == [
            "may_have_run",
            "ran",
            "ran",
        ]
        assert first_account[1].body == first_account[2].body
        assert second_account.status == 200
        assert second_account.body != first_account[1].body
        assert len({result.body for result in ticket_results}) == 1
        assert no_key.error == "ticket_required"
        assert executions == {"mine": 1, "other": 1, "ticket": 1}


class TestRandomFaults:
    def test_two_hundred_payments(self, tmp_path):
        """Calls must run at most once when random faults overlap.

        The statements to the callers must be true in combinations of faults that the
        tests of single faults do not reach.
        """
        rng = random.Random(SEED)
        fault_names = [*FAULT_OUTCOMES, "not_run", "leaving"]

        async def scenario(stack):
            urls, results_by_body = caller_urls(stack), {}
            finished = asyncio.Event()

            async def pay(number):
                body = f"payment-{number}".encode()
                service = rng.choice([PAYMENT, "slow"])
                issuer = rng.choice(urls)
                targets = [(rng.choice(urls), rng.uniform(0.3, 2.0)) for _ in range(4)]
                async with slots:
                    ticket = ""
                    try:
                        async with asyncio.timeout(2.0):
                            ticket = await get_ticket(
                                stack.session, issuer, KEY, service
                            )
                    except (TimeoutError, OSError):
                        pass
                    results = results_by_body[body.decode()] = []
                    if not ticket:
                        return
                    # Two tries at once, then two more, one after the other.
                    tries = [
                        send_call(
                            stack.session, url, KEY, service, body, ticket, timeout_s
                        )
                        for url, timeout_s in targets
                    ]
                    try:
                        async with asyncio.timeout(4.0):
                            results += await asyncio.gather(*tries[:2])
                            results.append(await tries[2])
                            results.append(await tries[3])
                    except TimeoutError:
                        # The caller gives up without a result.
                        results.append(None)
                    finally:
                        for attempt in tries:
                            attempt.close()

            async def inject_faults():
                while not finished.is_set():
                    await asyncio.sleep(rng.uniform(0.02, 0.1))
                    event = rng.choice(
                        ["fault", "fault", "fault", "refuse", "reset", "pause", "cut"]
                    )
                    domain = rng.choice(["fd1", "fd2", "fd3"])
                    match event:
                        case "fault":
                            await set_fault(
                                stack,
                                rng.choice(fault_names),
                                rng.randint(1, 4),
                                rng.uniform(0.1, 1.0),
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
                            await asyncio.sleep(rng.uniform(0.1, 1.0))
                            node.send_signal(signal.SIGCONT)
                        case "cut":
                            await stack.partition([domain], Rule(drop="both"))
                            await asyncio.sleep(rng.uniform(0.1, 0.6))
                            await stack.heal()

            slots = asyncio.Semaphore(12)
            injector = asyncio.create_task(inject_faults())
            await asyncio.gather(*(pay(number) for number in range(200)))
            finished.set()
            await injector
            return results_by_body, await count_executions(stack)

        results_by_body, executions = run_stack(
            tmp_path, scenario, service_settings(), relayed=True
        )
        assert len(results_by_body) == 200
        assert [body for body, count in executions.items() if count > 1] == []
        statements = Counter()
        for body, results in results_by_body.items():
            if results and all(
                result is not None and result.execution == "not_run"
                for result in results
            ):
                assert executions.get(body, 0) == 0, (body, results)
            bodies = {
                result.body for result in results if result and result.status == 200
            }
            assert len(bodies) <= 1, (body, results)
            statements.update(
                result.execution if result else "no result" for result in results
            )
            if any(result and result.status == 200 for result in results):
                assert executions[body] == 1
        # Unless all three statements occur, the run has not covered every outcome.
        assert {"ran", "may_have_run", "not_run"} <= statements.keys(), statements
