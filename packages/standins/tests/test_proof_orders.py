"""Prove with real processes that engines end at what the newest settings say."""

import asyncio
import json
import signal

import pytest

from dandelionpond_standins.client import Verdict, send_prompt
from dandelionpond_standins.engine_text import expected_text
from dandelionpond_standins.example_settings import KEY, MODEL, ExampleSettings
from dandelionpond_standins.relay import Rule
from dandelionpond_standins.stack_harness import FAST_SETTINGS, StackHarness
from dandelionpond_standins.stack_helpers import example_prompt, wait_until

ENFORCING = ("fd1-engine-1", "fd1-engine-2")
IGNORING = ("fd1-engine-3", "fd1-engine-4")
ORDER = "POST /v1/orders"


class MixedSample(ExampleSettings):
    """Let half of the engines ignore fencing tokens."""

    def document(self):
        document = super().document()
        for name in IGNORING:
            document["upstreams"][name]["fencing"] = "ignored"
        return document


@pytest.fixture(scope="class")
def world(tmp_path_factory):
    sample = MixedSample(
        failure_domains=1, engines_per_domain=4, sections=FAST_SETTINGS
    )
    with StackHarness(
        tmp_path_factory.mktemp("orders"),
        sample,
        nodes_per_domain=3,
        relayed=True,
        engine_arguments=("--load-s=1.0", "--keep-alive-s=60"),
    ) as found:
        yield found


async def publish(world, name, document):
    """Write one published file through the platform."""
    url = f"{world.stack.platform.url}/control/files/{name}"
    async with world.stack.session.put(url, data=json.dumps(document)) as answer:
        assert answer.status == 200


async def publish_version(world, version, name="90-version.json"):
    await publish(world, name, {"models": {MODEL: {"version": version}}})


async def publish_rate(world, rate, burst):
    orders = {"weight_store_loads_per_s": rate, "weight_store_burst": burst}
    await publish(world, "89-rate.json", {"orders": FAST_SETTINGS["orders"] | orders})


async def report(world, engine):
    url = f"{world.stack.engines[engine].url}/v1/orders"
    async with world.stack.session.get(url) as answer:
        return await answer.json()


async def has_version(world, version, engines=()):
    for engine in engines or world.stack.engines:
        held = (await report(world, engine))["models"].get(MODEL, {})
        if (held.get("version"), held.get("state")) != (version, "ready"):
            return False
    return True


async def converge(world, version, engines=()):
    await wait_until(lambda: has_version(world, version, engines), 30.0)


async def orders_of(world, engine, version):
    """Return the results of the orders for a version that reached an engine."""
    history = (await world.engine_counters(engine))["orders"]
    return [each["result"] for each in history if each["version"] == version]


async def giver_of(world, engine):
    """Return the node that gives orders to an engine, when all nodes agree."""
    givers = []

    async def is_agreed():
        givers[:] = [
            node
            for node in world.stack.nodes
            if engine
            in (await world.stack.call_operator_api(node, "/v1/dump"))["orders"][
                "engines"
            ]
        ]
        return len(givers) == 1

    await wait_until(is_agreed)
    return givers[0]


async def take_over_with_order_held(world, engine, old, new):
    """Stop a giver whose order for `old` is on its way, until `new` is in place.

    The giver has a report from after the order, so that its next step is a repeat.
    Returns the stopped node and the relay that holds its order.
    """
    giver = await giver_of(world, engine)
    (path,) = world.stack.relays_between([giver], [engine])
    await path.apply(Rule(hold=ORDER))
    await publish_version(world, old)
    await asyncio.wait_for(path.chunk_held.wait(), 30.0)
    await asyncio.sleep(0.7 * FAST_SETTINGS["orders"]["repeat_after_s"])
    world.stack.nodes[giver].send_signal(signal.SIGSTOP)
    await publish_version(world, new)
    await converge(world, new)
    return giver, path


def is_answer(prompt, result, versions):
    """Return whether an answer is complete and of one of the versions."""
    if result.verdict not in (Verdict.COMPLETE, Verdict.WRONG):
        return False
    return result.text in [
        expected_text(prompt.model, version, prompt.text, prompt.max_tokens)
        for version in versions
    ]


class TestVersionChange:
    def test_requests_go_on_while_a_paced_change_reaches_each_engine(self, world):
        """Guard against a change that stops requests or asks the store too fast."""

        async def case(world):
            await publish_rate(world, 0.5, 1)
            prompts, tasks = [], []
            await publish_version(world, "v2")
            change = asyncio.create_task(converge(world, "v2"))
            while not change.done():
                prompts.append(example_prompt(300, f"v{len(prompts)}"))
                nodes = list(world.stack.nodes)
                url = world.url(nodes[len(prompts) % len(nodes)])
                tasks.append(
                    asyncio.create_task(
                        send_prompt(world.stack.session, url, KEY, prompts[-1])
                    )
                )
                await asyncio.sleep(0.04)
            await change
            results = await asyncio.gather(*tasks)
            counters = [await world.engine_counters(e) for e in world.stack.engines]
            nodes = [await world.counters(node) for node in world.stack.nodes]
            return prompts, results, counters, nodes

        prompts, results, counters, nodes = world.run(case)
        bad = [
            (result.verdict, result.error, result.execution)
            for prompt, result in zip(prompts, results, strict=True)
            if not is_answer(prompt, result, ("v1", "v2"))
        ]
        assert len(prompts) > 20
        assert bad == []
        # Each node may be refused by an engine in the instant of its change.
        refused = sum(one["refused"].get("unknown_model", 0) for one in counters)
        assert refused <= 12
        assert sum(one["dispatch"]["placed_on_other_version"] for one in nodes) > 0
        times = sorted(
            one["clock_started_at"]
            + next(e["at"] for e in one["orders"] if e["version"] == "v2")
            for one in counters
        )
        # Four loads at one every 2 s; a tick late at the start is tolerated.
        assert times[-1] - times[0] > 4.0

    def test_two_operators_change_the_same_thing(self, world):
        """Guard against two results of one race."""

        async def case(world):
            # Deleting both contested files below must bring this version back.
            await publish_version(world, "v2")
            await publish_rate(world, 20.0, 4)
            await asyncio.gather(
                publish_version(world, "va", "92-same.json"),
                publish_version(world, "vb", "92-same.json"),
                publish_version(world, "vc", "91-other.json"),
            )
            stored = json.loads(
                (world.stack.published_folder / "92-same.json").read_text()
            )
            version = stored["models"][MODEL]["version"]
            await converge(world, version)
            found = [
                (await world.stack.call_operator_api(node, "/v1/status"))[
                    "settings_digest"
                ]
                for node in world.stack.nodes
            ]
            for name in ("91-other.json", "92-same.json"):
                url = f"{world.stack.platform.url}/control/files/{name}"
                async with world.stack.session.delete(url) as answer:
                    assert answer.status == 200
            await converge(world, "v2")
            return version, found

        version, digests = world.run(case)
        assert version in ("va", "vb")
        assert len(set(digests)) == 1

    def test_giver_that_is_killed_is_followed_by_another(self, world):
        """Guard against an engine without a giver."""

        async def case(world):
            giver = await giver_of(world, ENFORCING[0])
            world.stack.nodes[giver].send_signal(signal.SIGKILL)
            await publish_version(world, "v3")
            gone = world.stack.nodes.pop(giver)
            await gone.process.wait()
            await converge(world, "v3")
            follower = await giver_of(world, ENFORCING[0])
            world.stack.nodes[giver] = gone
            await world.restart_node(giver)
            return giver, follower

        giver, follower = world.run(case)
        assert giver != follower


class TestFencing:
    def test_enforcing_engine_refuses_an_old_order_that_arrives_late(self, world):
        """Guard against an engine that goes back to an older version."""

        async def case(world):
            engine = ENFORCING[0]
            await publish_rate(world, 20.0, 4)
            giver, path = await take_over_with_order_held(world, engine, "w1", "w2")
            await path.apply(Rule())

            async def has_arrived():
                return bool(await orders_of(world, engine, "w1"))

            await wait_until(has_arrived)
            seen = [await has_version(world, "w2", [engine])]
            world.stack.nodes[giver].send_signal(signal.SIGCONT)
            await giver_of(world, engine)
            seen.append(await has_version(world, "w2"))
            return await orders_of(world, engine, "w1"), seen

        results, seen = world.run(case)
        assert set(results) == {"stale"}
        assert seen == [True, True]

    @pytest.mark.parametrize("engine", [ENFORCING[1], IGNORING[0]])
    def test_stopped_giver_does_not_send_its_old_order(self, world, engine):
        """Guard against an order from before a pause at an engine that obeys it."""

        async def case(world):
            old, new = f"x1-{engine}", f"x2-{engine}"
            giver, path = await take_over_with_order_held(world, engine, old, new)
            # What is on its way is lost; only what the node sends now can arrive.
            path.reset()
            await path.apply(Rule())
            before = (await world.engine_counters(engine))["orders"]
            world.stack.nodes[giver].send_signal(signal.SIGCONT)
            assert await giver_of(world, engine) == giver

            async def has_asked():
                counters = await world.counters(giver)
                return counters["orders"]["pauses"] > 0

            await wait_until(has_asked)
            await asyncio.sleep(2 * FAST_SETTINGS["orders"]["repeat_after_s"])
            await converge(world, new)
            after = (await world.engine_counters(engine))["orders"]
            return [each for each in after if each not in before], old

        late, old = world.run(case)
        assert [each for each in late if each["version"] == old] == []

    def test_window_that_remains_is_corrected(self, world):
        """Guard against an engine that stays at an old order it should not obey."""

        async def case(world):
            engine = IGNORING[1]
            giver, path = await take_over_with_order_held(world, engine, "y1", "y2")
            await path.apply(Rule())

            async def has_arrived():
                return bool(await orders_of(world, engine, "y1"))

            await wait_until(has_arrived)
            world.stack.nodes[giver].send_signal(signal.SIGCONT)
            obeyed = await orders_of(world, engine, "y1")
            await converge(world, "y2")
            return obeyed

        assert "accepted" in world.run(case)
