"""Test the whole path with real processes."""

import asyncio
import json

import pytest

from dandelionpond_standins.client import (
    Prompt,
    Verdict,
    get_ticket,
    make_text,
    send_call,
    send_prompt,
)
from dandelionpond_standins.launcher import Stack, StackOptions
from dandelionpond_standins.sample import (
    KEY,
    MODEL,
    OTHER_KEY,
    PAYMENT,
    STOCK,
    VERSION,
    Sample,
)


def run_stack(tmp_path, scenario, sample=None, **options):
    """Run a scenario on a small stack and return its result."""

    async def run():
        folder = (sample or Sample()).write(tmp_path / "settings")
        async with Stack(StackOptions(settings=folder, **options)) as stack:
            return await scenario(stack)

    return asyncio.run(run())


def urls(stack):
    return [f"http://{child.line['caller_address']}" for child in stack.nodes.values()]


def prompt(tokens, seed="a", max_tokens=16, timeout_s=60.0):
    return Prompt(
        model=MODEL,
        version=VERSION,
        text=make_text(tokens, seed),
        max_tokens=max_tokens,
        timeout_s=timeout_s,
    )


class TestWholePath:
    def test_prompts_payments_and_replay(self, tmp_path):
        """Guard against a part of the path that works alone but not with the others."""

        async def scenario(stack):
            lengths = (200, 2_000, 20_000, 90_000)
            results = await asyncio.gather(
                *(
                    send_prompt(stack.session, urls(stack)[index % 3], KEY, prompt(n))
                    for index, n in enumerate(lengths)
                )
            )
            ticket = await get_ticket(stack.session, urls(stack)[0], KEY, PAYMENT)
            calls = [
                await send_call(stack.session, url, KEY, PAYMENT, b'{"n":1}', ticket)
                for url in urls(stack)
            ]
            executions = 0
            for child in stack.services.values():
                url = f"{child.url}/control/executions"
                async with stack.session.get(url) as response:
                    executions += (await response.json())["total"]
            lines = []
            for name in stack.nodes:
                url = stack.operator_url(name) + "/v1/decisions"
                headers = {"Authorization": "Bearer demo-operator"}
                async with stack.session.get(url, headers=headers) as response:
                    lines += (await response.read()).splitlines()
            return results, calls, executions, lines

        results, calls, executions, lines = run_stack(tmp_path, scenario)
        assert [result.verdict for result in results] == [Verdict.COMPLETE] * 4
        assert [call.status for call in calls] == [200, 200, 200]
        assert len({call.body for call in calls}) == 1
        assert executions == 1
        assert len(lines) >= 3
        assert {json.loads(line)["decision"] for line in lines} >= {"choose"}

    @pytest.mark.parametrize("service", [PAYMENT, STOCK])
    def test_ticket_of_another_account_is_refused(self, tmp_path, service):
        """Guard against an answer given to another client account."""

        async def scenario(stack):
            first, second, _ = urls(stack)
            ticket = await get_ticket(stack.session, first, KEY, service)
            mine = await send_call(stack.session, first, KEY, service, b"1", ticket)
            others = [
                await send_call(stack.session, url, OTHER_KEY, service, b"1", ticket)
                for url in (first, second)
            ]
            return mine, others

        mine, others = run_stack(tmp_path, scenario)
        assert mine.status == 200
        for other in others:
            assert (other.status, other.error) == (409, "ticket_mismatch")
            assert mine.body not in other.body
