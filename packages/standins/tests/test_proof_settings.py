"""Test with real processes that settings reach every node and never go back."""

import asyncio
import json
import signal

import pytest

from dandelionpond_standins.example_settings import MODEL, ExampleSettings
from dandelionpond_standins.relay import Rule
from dandelionpond_standins.stack_helpers import run_stack, wait_until

# Two nodes in each of three failure domains; both nodes of a domain are readers.
STACK_OPTIONS = {"nodes_per_domain": 2, "relayed": True}
# Guaranteed time in which a published change takes effect on every node.
MAX_PROPAGATION_S = 5.0
DROP_ALL = Rule(drop="both")
FAST_SETTINGS = {
    "distribution": {
        "watch_wait_s": 2.0,
        "platform_timeout_s": 2.0,
        "retry_max_s": 2.0,
    },
    "membership": {
        "heartbeat_interval_s": 0.3,
        "suspect_after_s": 1.5,
        "gone_after_s": 4.0,
    },
}


def make_change(number):
    """Return the content of a settings file that differs for each number."""
    return json.dumps({"models": {MODEL: {"max_prompt_tokens": 50_000 + number}}})


def count_settings_calls(counters):
    """Return the number of calls for settings, without those for the list of VMs."""
    calls = counters["calls"]
    return sum(calls.get(kind, 0) for kind in ("list", "keys", "watch"))


class SettingsRollout:
    """Publisher of settings that tracks the revision in effect on each node.

    `regressions` lists each decrease as (node, highest revision, later revision).
    """

    def __init__(self, stack):
        self.stack = stack
        self.highest_revisions = {}
        self.regressions = []

    async def publish(self, content, name="50-proof.json"):
        """Write one file and return the platform's revision."""
        url = f"{self.stack.platform.url}/control/files/{name}"
        async with self.stack.session.put(url, data=content.encode()) as response:
            return (await response.json())["revision"]

    async def set_platform_state(self, **state):
        """Change how the platform answers."""
        return await self.stack.control(self.stack.platform, "state", state)

    async def platform_counters(self, method="GET"):
        """Return the platform's counters; the method DELETE resets them first."""
        url = f"{self.stack.platform.url}/control/counters"
        async with self.stack.session.request(method, url) as response:
            return await response.json()

    async def node_status(self, name):
        """Return a node's status and record a revision that decreased."""
        status = await self.stack.call_operator_api(name, "/v1/status")
        incarnation, revision = status["incarnation"], status["settings_revision"]
        if revision < self.highest_revisions.get(incarnation, 0):
            self.regressions.append(
                (name, self.highest_revisions[incarnation], revision)
            )
        self.highest_revisions[incarnation] = revision
        return status

    async def sum_counter(self, slice_name, counter, names=None):
        """Return the sum of a counter over nodes, by default all."""
        dumps = [
            await self.stack.call_operator_api(name, "/v1/dump")
            for name in names or self.stack.nodes
        ]
        return sum(dump["counters"][slice_name][counter] for dump in dumps)

    async def wait_until_in_effect(
        self, revision, names=None, timeout_s=MAX_PROPAGATION_S
    ):
        """Wait until nodes have a revision in effect, all with the same digest.

        Raises TimeoutError after `timeout_s` seconds, by default the guaranteed time.
        """
        names = list(names or self.stack.nodes)

        async def is_in_effect():
            statuses = await asyncio.gather(*(self.node_status(name) for name in names))
            return (
                all(status["settings_revision"] == revision for status in statuses)
                and len({status["settings_digest"] for status in statuses}) == 1
            )

        start = asyncio.get_running_loop().time()
        await wait_until(is_in_effect, timeout_s)
        elapsed_s = asyncio.get_running_loop().time() - start
        print(f"revision {revision} on {len(names)} nodes after {elapsed_s:.2f} s")

    async def accepted_revisions(self, name):
        """Return the revisions that the current incarnation of a node accepted."""
        incarnation = (await self.node_status(name))["incarnation"]
        log_records = map(json.loads, self.stack.read_log(name).splitlines())
        return [
            record["revision"]
            for record in log_records
            if record["message"] == "settings accepted"
            and record["incarnation"] == incarnation
        ]

    async def assert_revision_kept(self, revision, seconds, names=None):
        """Assert that nodes, by default all, keep a revision for some seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            for name in names or self.stack.nodes:
                assert (await self.node_status(name))["settings_revision"] == revision
            await asyncio.sleep(0.1)


def run_scenario(folder, scenario, **sections):
    """Run a scenario and check that no node went back to an older revision."""

    async def run(stack):
        rollout = SettingsRollout(stack)
        result = await scenario(rollout)
        assert rollout.regressions == []
        return result

    settings = ExampleSettings(sections=FAST_SETTINGS | sections)
    return run_stack(folder, run, settings, **STACK_OPTIONS)


class TestChanges:
    def test_changes_invalid_file_and_older_platform(self, tmp_path):
        """Every node must reach the newest valid revision and never go back.

        It must refuse an invalid file, an older revision and a platform whose revision
        numbers have become lower.
        """

        async def scenario(rollout):
            await rollout.wait_until_in_effect(1, timeout_s=60.0)
            full_requests = await rollout.sum_counter("transfer", "full_requests")
            await rollout.wait_until_in_effect(await rollout.publish(make_change(1)))
            assert (
                await rollout.sum_counter("transfer", "full_requests") == full_requests
            )
            for number in range(2, 12):
                revision = await rollout.publish(make_change(number))
            await rollout.wait_until_in_effect(revision)
            # In ten changes in a row two readers may skip different revisions. Then one
            # does not know the folder of the other, which needs a full request.
            full_requests = await rollout.sum_counter("transfer", "full_requests")

            invalid_revision = await rollout.publish(
                '{"models": {"x": {"colour": 1}}}', "60-x.json"
            )

            async def is_refused_by_all():
                statuses = [
                    await rollout.node_status(name) for name in rollout.stack.nodes
                ]
                return all(
                    status["settings_refused"] == invalid_revision
                    for status in statuses
                )

            await wait_until(is_refused_by_all, 30.0)
            statuses = [await rollout.node_status(name) for name in rollout.stack.nodes]
            assert {status["settings_revision"] for status in statuses} == {revision}
            errors = {json.dumps(status["settings_errors"]) for status in statuses}
            assert len(errors) == 1
            assert "60-x.json" in errors.pop()
            revision = await rollout.publish("{}", "60-x.json")
            await rollout.wait_until_in_effect(revision)
            statuses = [await rollout.node_status(name) for name in rollout.stack.nodes]
            assert {status["settings_refused"] for status in statuses} == {None}

            older_refused = await rollout.sum_counter("distribution", "older_refused")
            await rollout.set_platform_state(step_back=revision - 3)

            async def is_older_revision_counted():
                count = await rollout.sum_counter("distribution", "older_refused")
                return count >= older_refused + len(rollout.stack.nodes)

            await wait_until(is_older_revision_counted, 60.0)
            await rollout.assert_revision_kept(revision, 0.5)
            await rollout.set_platform_state(frozen=False)
            revision = await rollout.publish(make_change(20))
            await rollout.wait_until_in_effect(revision)
            await rollout.set_platform_state(frozen=True)
            newer_revision = await rollout.publish(make_change(21))
            await rollout.assert_revision_kept(revision, 1.0)
            await rollout.set_platform_state(frozen=False)
            await rollout.wait_until_in_effect(newer_revision)

            older_refused = await rollout.sum_counter("distribution", "older_refused")
            await rollout.set_platform_state(renumber=2)
            lower_revision = await rollout.publish(make_change(22))
            assert lower_revision < newer_revision
            await wait_until(is_older_revision_counted, 60.0)
            await rollout.assert_revision_kept(newer_revision, 0.5)
            await rollout.set_platform_state(renumber=newer_revision)
            await rollout.wait_until_in_effect(await rollout.publish(make_change(23)))
            # All later revisions were fetched as differences from the folder in effect.
            assert (
                await rollout.sum_counter("transfer", "full_requests") == full_requests
            )
            assert await rollout.sum_counter("transfer", "delta_requests") > 0
            assert await rollout.sum_counter("tasks", "failed") == 0

        run_scenario(tmp_path, scenario)


class TestFailures:
    def test_processes_that_stop_die_and_return(self, tmp_path):
        """A reader or a new node must not bring older settings back.

        Nodes are killed or paused, and some of them return while the platform is down
        or serves an older revision.
        """

        async def scenario(rollout):
            stack = rollout.stack
            await rollout.wait_until_in_effect(1, timeout_s=60.0)
            revision = await rollout.publish(make_change(1))
            await rollout.wait_until_in_effect(revision)

            await rollout.set_platform_state(mode="down")
            await stack.nodes["fd1-node-1"].stop(signal.SIGKILL)
            await stack.start_node("fd1-node-1")
            await rollout.wait_until_in_effect(revision, timeout_s=60.0)
            await rollout.set_platform_state(step_back=1, mode="up")
            await stack.nodes["fd1-node-1"].stop(signal.SIGKILL)
            await stack.start_node("fd1-node-1")
            await rollout.wait_until_in_effect(revision, timeout_s=60.0)
            assert await rollout.accepted_revisions("fd1-node-1") == [revision]
            await rollout.set_platform_state(frozen=False)

            paused = "fd2-node-1"
            others = [name for name in stack.nodes if name != paused]
            stack.nodes[paused].send_signal(signal.SIGSTOP)
            revision = await rollout.publish(make_change(2))
            await rollout.wait_until_in_effect(revision, others)
            await asyncio.sleep(4.0)
            stack.nodes[paused].send_signal(signal.SIGCONT)
            await rollout.wait_until_in_effect(revision)

            killed = ("fd3-node-1", "fd3-node-2")
            others = [name for name in stack.nodes if name not in killed]
            for name in killed:
                await stack.nodes[name].stop(signal.SIGKILL)
            await rollout.set_platform_state(step_back=1)
            await asyncio.gather(*(stack.start_node(name) for name in killed))
            await rollout.wait_until_in_effect(revision, timeout_s=60.0)
            for name in killed:
                assert await rollout.accepted_revisions(name) == [revision]
            await rollout.set_platform_state(frozen=False)
            await rollout.wait_until_in_effect(await rollout.publish(make_change(3)))

        run_scenario(tmp_path, scenario)

    def test_cut_off_domain_and_outage(self, tmp_path):
        """A failure domain must catch up once a partition has healed.

        During and after an outage of the platform, the readers must not overload it.
        """

        async def scenario(rollout):
            stack = rollout.stack
            await rollout.wait_until_in_effect(1, timeout_s=60.0)
            inside = ("fd1-node-1", "fd1-node-2")
            outside = [name for name in stack.nodes if name not in inside]
            await stack.partition({"fd1"}, DROP_ALL)
            revision = await rollout.publish(make_change(1))
            await rollout.wait_until_in_effect(revision, outside)
            await rollout.assert_revision_kept(1, 5.0, inside)
            await stack.heal()
            await rollout.wait_until_in_effect(revision)

            readers = json.dumps({"distribution": {"readers_per_domain": 1}})
            revision = await rollout.publish(readers, "70-readers.json")
            await rollout.wait_until_in_effect(revision)
            await rollout.set_platform_state(mode="down")
            await rollout.platform_counters("DELETE")
            await asyncio.sleep(3.0)
            # Three readers, each of which waits 0.5 s to 2 s after a failure. The lower
            # bound is awaited below, because a reader may be late on a busy machine.
            assert count_settings_calls(await rollout.platform_counters()) <= 3 * 8

            async def have_readers_tried():
                return count_settings_calls(await rollout.platform_counters()) >= 3

            await wait_until(have_readers_tried, 30.0)
            await rollout.platform_counters("DELETE")
            await rollout.set_platform_state(mode="up")
            revision = await rollout.publish(make_change(2))
            await rollout.wait_until_in_effect(revision)
            await asyncio.sleep(1.0)
            counters = await rollout.platform_counters()
            statuses = [await rollout.node_status(name) for name in stack.nodes]
            assert sum(status["reader"] for status in statuses) == 3
            assert counters["watches_waiting"] <= 3
            # A list, a value and a few watches for each of the three readers.
            assert 3 <= count_settings_calls(counters) <= 3 * 6, counters

        run_scenario(tmp_path, scenario)


class TestReplacedDomain:
    @pytest.mark.parametrize("settings_source", ["platform", "peer"])
    def test_new_domain_serves_nothing_until_it_has_settings(
        self, tmp_path, settings_source
    ):
        """New nodes must not answer callers before they have settings.

        All nodes of a failure domain are replaced while it is cut off. They become
        ready when they can reach the platform or one node of another domain.
        """

        async def scenario(rollout):
            stack = rollout.stack
            await rollout.wait_until_in_effect(1, timeout_s=60.0)
            revision = await rollout.publish(make_change(1))
            await rollout.wait_until_in_effect(revision)
            inside = ("fd1-node-1", "fd1-node-2")
            await stack.partition({"fd1"}, DROP_ALL)
            for name in inside:
                await stack.nodes[name].stop(signal.SIGKILL)
            starts = [asyncio.create_task(stack.start_node(name)) for name in inside]
            await asyncio.sleep(6.0)
            assert not any(start.done() for start in starts)
            for name in inside:
                status = await stack.call_operator_api(name, "/v1/status")
                assert (status["settings_revision"], status["ready"]) == (0, False)
                url = f"http://{stack.nodes[name].startup_info['caller_address']}/v1/models"
                async with stack.session.get(url) as response:
                    assert response.status >= 400
            if settings_source == "platform":
                relays = stack.relays_between(inside, ["platform"])
            else:
                relays = stack.relays_between(inside, ["fd2-node-1"])
            for relay in relays:
                await relay.apply(Rule())
                relay.reset()
            await asyncio.gather(*starts)
            await rollout.wait_until_in_effect(revision, inside, 60.0)

        run_scenario(tmp_path, scenario)
