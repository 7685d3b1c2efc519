"""Prove with real processes that no engine loses memory for good."""

import asyncio
import signal

import aiohttp
import pytest

from dandelionpond_standins.client import Verdict, send_prompt
from dandelionpond_standins.example_settings import KEY, MODEL, ExampleSettings
from dandelionpond_standins.relay import Rule
from dandelionpond_standins.stack_harness import FAST_SETTINGS, StackHarness
from dandelionpond_standins.stack_helpers import example_prompt, wait_until

FIRST, SECOND = "fd1-node-1", "fd1-node-2"
# An answer that ends without an error event, or one failure that the caller can read.
CLEAR = {Verdict.COMPLETE, Verdict.FAILED, Verdict.REFUSED}
# More than twice the 60,000 tokens of one engine.
LONG = 130_000


def make_world(folder, **options):
    sample = ExampleSettings(
        failure_domains=1,
        engines_per_domain=4,
        kv_capacity_tokens=60_000,
        max_prompt_tokens=200_000,
        sections=FAST_SETTINGS,
    )
    return StackHarness(folder, sample, nodes_per_domain=2, relayed=True, **options)


@pytest.fixture(scope="class")
def world(tmp_path_factory):
    with make_world(tmp_path_factory.mktemp("memory")) as found:
        yield found


def ask(tokens, seed, max_tokens=16):
    """Return a prompt whose deadline does not depend on how slow engines are made."""
    return example_prompt(tokens, seed, max_tokens, timeout_s=600.0)


def send(world, node, prompt):
    """Start a prompt in the background."""
    return asyncio.create_task(
        send_prompt(world.stack.session, world.url(node), KEY, prompt)
    )


async def leave_mid_answer(world, node, prompt):
    """Send a prompt and close the connection after the first bytes of the answer."""
    body = {
        "model": prompt.model,
        "prompt": prompt.text,
        "max_tokens": prompt.max_tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {KEY}"}
    url = f"{world.url(node)}/v1/completions"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=body, headers=headers) as response,
    ):
        assert response.status == 200, await response.text()
        await response.content.readany()


async def has_holdings(world, kind, count):
    found = await world.all_holdings()
    return sum(held["kind"] == kind for held in found) >= count


class TestLeases:
    def test_callers_leave_while_cancels_are_lost(self, world):
        """Guard against a release that is sent once and lost."""

        async def case(world):
            for child in world.stack.engines.values():
                await world.stack.control(child, "lose_cancels", 2)
            await asyncio.gather(
                *(
                    leave_mid_answer(world, node, ask(300, f"{node}{n}", 2_000))
                    for node in (FIRST, SECOND)
                    for n in range(4)
                )
            )
            await world.wait_until_released()
            left = [
                (await world.stack.control(child, "slow_factor", 1.0))["lose_cancels"]
                for child in world.stack.engines.values()
            ]
            for child in world.stack.engines.values():
                await world.stack.control(child, "clear")
            return left

        assert min(world.run(case)) == 0

    def test_memory_of_a_killed_node_is_adopted(self, world):
        """Guard against streams and reservations that outlive their owner."""

        async def case(world):
            await world.slow_engines(20.0)
            prompts = [ask(400, f"k{n}", 2_000) for n in range(4)]
            tasks = [send(world, FIRST, one) for one in prompts]
            tasks.append(send(world, FIRST, ask(LONG, "g", 2_000)))

            async def is_open():
                return await has_holdings(world, "stream", 4) and await has_holdings(
                    world, "reservation", 2
                )

            await wait_until(is_open)
            before = await world.counters(SECOND)
            world.stack.nodes[FIRST].send_signal(signal.SIGKILL)
            await asyncio.gather(*tasks)

            async def is_free():
                return not await world.all_holdings()

            await wait_until(is_free)

            async def is_counted():
                now = (await world.counters(SECOND))["adoption"]["confirmed"]
                return now >= before["adoption"]["confirmed"] + 6

            # The answers to the last releases come a moment after the memory is free.
            await wait_until(is_counted)
            after = await world.counters(SECOND)
            await world.slow_engines(1.0)
            await world.restart_node(FIRST)
            await world.wait_until_released()
            return before["adoption"], after["adoption"]

        before, after = world.run(case)
        assert after["adopted_from_live"] == before["adopted_from_live"]

    def test_owner_that_was_stopped_gives_its_streams_up(self, world):
        """Guard against a node that goes on after others took its memory over."""

        async def case(world):
            await world.slow_engines(20.0)
            tasks = [send(world, FIRST, ask(400, f"s{n}", 300)) for n in range(4)]
            await wait_until(lambda: has_holdings(world, "stream", 4))
            stopped = world.stack.nodes[FIRST]
            stopped.send_signal(signal.SIGSTOP)

            async def is_free():
                return not await world.all_holdings()

            await wait_until(is_free)
            await world.slow_engines(1.0)
            stopped.send_signal(signal.SIGCONT)
            results = await asyncio.gather(*tasks)
            await world.wait_until_released()
            return results, await world.counters(FIRST)

        results, counters = world.run(case)
        assert {result.verdict for result in results} <= CLEAR
        assert counters["leases"]["lost"] >= 4
        assert counters["prompt_memory"]["stream_lost"] >= 1

    def test_living_owner_behind_a_partition_loses_nothing(self, world):
        """Guard against adoption from an owner that is alive and renews."""

        async def case(world):
            before = [await world.counters(node) for node in (FIRST, SECOND)]
            await world.slow_engines(20.0)
            tasks = [
                send(world, node, ask(400, f"p{node}", 40)) for node in (FIRST, SECOND)
            ]
            await wait_until(lambda: has_holdings(world, "stream", 2))
            between = [
                *world.stack.relays_between([FIRST], [SECOND]),
                *world.stack.relays_between([SECOND], [FIRST]),
            ]
            for path in between:
                await path.apply(Rule(drop="both"))

            async def is_alone():
                return not (await world.stack.call_operator_api(FIRST, "/v1/status"))[
                    "peers"
                ].get("live")

            await wait_until(is_alone)
            results = await asyncio.gather(*tasks)
            await world.stack.heal()
            await world.slow_engines(1.0)
            await world.wait_until_released()
            after = [await world.counters(node) for node in (FIRST, SECOND)]
            return results, before, after

        results, before, after = world.run(case)
        assert [result.verdict for result in results] == [Verdict.COMPLETE] * 2
        for old, new in zip(before, after, strict=True):
            assert new["leases"]["lost"] == old["leases"]["lost"]
            assert new["adoption"]["adopted"] == old["adoption"]["adopted"]

    def test_request_that_arrives_after_its_release(self, world):
        """Guard against memory that a living owner does not know of."""

        async def case(world):
            for node in (FIRST, SECOND):
                status = await world.stack.call_operator_api(node, "/v1/status")
                for engine, child in world.stack.engines.items():
                    body = {
                        "request_id": f"late-{node}-{engine}",
                        "owner": f"{node}/{status['incarnation']}",
                        "model": MODEL,
                        "prompt_tokens": 1_000,
                        "max_tokens": 8_000,
                        "expires_in_s": 0.5,
                    }
                    url = f"{child.url}/v1/generate"
                    async with world.stack.session.post(url, json=body) as answer:
                        await answer.content.readany()
                        answer.close()
            assert len(await world.all_holdings()) == 8
            await world.wait_until_released()
            return [await world.counters(node) for node in (FIRST, SECOND)]

        counters = world.run(case)
        assert sum(one["adoption"]["adopted_from_live"] for one in counters) >= 4

    def test_engine_restarts(self, world):
        """Guard against leases and releases that wait for memory that is gone."""

        async def case(world):
            await world.slow_engines(10.0)
            tasks = [
                send(world, node, ask(400, f"r{node}{n}", 100))
                for node in (FIRST, SECOND)
                for n in range(4)
            ]
            await wait_until(lambda: has_holdings(world, "stream", 8))
            await world.restart_engine("fd1-engine-2")
            await world.slow_engines(1.0)
            results = await asyncio.gather(*tasks)
            await world.wait_until_released()
            return results

        results = world.run(case)
        assert {result.verdict for result in results} <= CLEAR


def parts(found):
    """Return the engines that hold a part of a prompt on a group."""
    return {held["engine"] for held in found}


class TestGroups:
    def test_long_prompts_beside_short_ones(self, world):
        """Guard against a long prompt that starves or that short ones starve."""

        async def case(world):
            seen = set()
            task = send(world, FIRST, ask(LONG, "long"))
            shorts = []
            while not task.done():
                seen |= parts(
                    held
                    for held in await world.all_holdings()
                    if held["tokens"] >= LONG // 4
                )
                if len(shorts) < 20:
                    prompt = ask(300, f"short{len(shorts)}")
                    shorts.append(send(world, SECOND, prompt))
                await asyncio.sleep(0.05)
            results = await asyncio.gather(task, *shorts)
            await world.wait_until_released()
            return results, seen

        results, seen = world.run(case)
        assert {result.verdict for result in results} == {Verdict.COMPLETE}
        assert len(seen) >= 3

    def test_all_parts_are_held_while_the_stream_runs(self, world):
        """Guard against parts that are given up when the lead's part is taken over."""

        async def case(world):
            # 22 steps of almost half a second: several renewals before the first token.
            await world.slow_engines(4.0)
            task = send(world, FIRST, ask(LONG, "kept", 60))
            await wait_until(lambda: has_holdings(world, "stream", 1))
            fewest, looks = 4, 0
            while True:
                found = await world.all_holdings()
                if not any(held["kind"] == "stream" for held in found):
                    break
                fewest, looks = min(fewest, len(parts(found))), looks + 1
                await asyncio.sleep(0.05)
            await world.slow_engines(1.0)
            result = await task
            await world.wait_until_released()
            return result, fewest, looks

        result, fewest, looks = world.run(case)
        assert result.verdict is Verdict.COMPLETE
        assert looks > 10
        assert fewest == 3

    def test_engine_of_a_part_dies_while_the_stream_runs(self, world):
        """Guard against a stream that goes on without a part of its prompt."""

        async def case(world):
            await world.slow_engines(6.0)
            before = await world.counters(FIRST)
            task = send(world, FIRST, ask(LONG, "part", 400))
            await wait_until(lambda: has_holdings(world, "stream", 1))
            found = await world.all_holdings()
            victim = next(
                held["engine"] for held in found if held["kind"] == "reservation"
            )
            lead = next(held for held in found if held["kind"] == "stream")
            await world.restart_engine(victim)

            async def is_freed():
                return all(
                    held["holding_id"] != lead["holding_id"]
                    for held in await world.all_holdings()
                )

            # The stream of the broken group ends long before its 400 slow tokens.
            await wait_until(is_freed, 10.0)
            await world.slow_engines(1.0)
            result = await task
            await world.wait_until_released()
            return result, before, await world.counters(FIRST)

        result, before, after = world.run(case)
        assert result.verdict in CLEAR
        assert (
            after["prompt_memory"]["group_lost"] > before["prompt_memory"]["group_lost"]
        )

    def test_stream_of_a_group_falls_silent(self, world):
        """Guard against a group that waits for a dead connection until its deadline."""

        async def case(world):
            # The lead is the first by name, so one of these two leads each group.
            for engine in ("fd1-engine-1", "fd1-engine-2"):
                fault = {"kind": "silence", "after_tokens": 5}
                await world.stack.control(world.stack.engines[engine], "stream", fault)
            result = await send(world, FIRST, ask(LONG, "silent", 40))
            await world.wait_until_released()
            for child in world.stack.engines.values():
                await world.stack.control(child, "clear")
            return result, await world.counters(FIRST)

        result, counters = world.run(case)
        assert (result.verdict, result.error) == (Verdict.COMPLETE, "")
        assert counters["prompt_memory"]["placed_again"] >= 1

    def test_groups_that_compete_for_the_same_memory(self, world):
        """Guard against groups that hold parts while they wait for each other."""

        async def case(world):
            for child in world.stack.engines.values():
                await world.stack.control(child, "lose_cancels", 6)
            tasks = [
                send(world, node, ask(LONG, f"c{node}{n}"))
                for n in range(2)
                for node in (FIRST, SECOND)
            ]
            results = await asyncio.gather(*tasks)
            await world.wait_until_released()
            return results

        results = world.run(case)
        assert [(one.verdict, one.error) for one in results] == [
            (Verdict.COMPLETE, "")
        ] * 4
