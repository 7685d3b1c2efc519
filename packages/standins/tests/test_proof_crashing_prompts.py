"""Process tests: prompts that crash each engine on the product's own interface."""

import asyncio

import msgspec

from dandelionpond_standins.client import Verdict, send_prompt
from dandelionpond_standins.example_settings import KEY, ExampleSettings
from dandelionpond_standins.stack_harness import FAST_SETTINGS, StackHarness
from dandelionpond_standins.stack_helpers import example_prompt

CRASH_TEXT = "crashes-engines"
# Prompts sent before the check; each one crashes at least one engine.
EARLY_PROMPTS = 3
LATE_PROMPTS = 4
# Prompts that crash engines which may still reach them after the early ones.
MAX_LATE_CRASHES = 3


def crashing_prompt(number):
    prompt = example_prompt(2_000, "shared", timeout_s=10.0)
    return msgspec.structs.replace(prompt, text=f"{CRASH_TEXT} {prompt.text} {number}")


class TestCrashingPrompts:
    def test_prompts_that_crash_engines_stop_reaching_them(self, tmp_path):
        """Guard against one prompt that crashes one engine after another."""

        async def restart_crashed(harness):
            """Restart the engines that have exited and return how many there were."""
            await asyncio.sleep(0.5)
            crashed = [
                name
                for name, child in harness.stack.engines.items()
                if child.process.returncode is not None
            ]
            for name in crashed:
                await harness.restart_engine(name)
                engine = harness.stack.engines[name]
                await harness.stack.control(engine, "crash_text", CRASH_TEXT)
            return len(crashed)

        async def scenario(harness):
            session, nodes = harness.stack.session, sorted(harness.stack.nodes)
            for engine in harness.stack.engines.values():
                await harness.stack.control(engine, "crash_text", CRASH_TEXT)
            crashes = []
            for number in range(EARLY_PROMPTS + LATE_PROMPTS):
                url = harness.url(nodes[number % len(nodes)])
                await send_prompt(session, url, KEY, crashing_prompt(number))
                crashes.append(await restart_crashed(harness))
                # The nodes have time to use the engines again.
                await asyncio.sleep(2.0)
            sound = await send_prompt(
                session, harness.url(nodes[0]), KEY, example_prompt(2_000, "shared")
            )
            return crashes, sound.verdict

        settings = ExampleSettings(
            failure_domains=1, engines_per_domain=4, sections=FAST_SETTINGS
        )
        with StackHarness(tmp_path, settings, nodes_per_domain=2) as harness:
            crashes, verdict = harness.run(scenario)
        assert sum(crashes[:EARLY_PROMPTS]) >= EARLY_PROMPTS
        assert verdict is Verdict.COMPLETE
        assert sum(crashes[EARLY_PROMPTS:]) <= MAX_LATE_CRASHES
