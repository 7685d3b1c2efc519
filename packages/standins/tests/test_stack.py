"""Test the whole path with real processes."""

import asyncio
import json

import pytest

from dandelionpond_standins.client import Verdict, get_ticket, send_call, send_prompt
from dandelionpond_standins.sample import KEY, OTHER_KEY, PAYMENT, STOCK
from dandelionpond_standins.scenario import (
    caller_urls,
    executions,
    run_stack,
    sample_prompt,
)


class TestWholePath:
    def test_prompts_payments_and_replay(self, tmp_path):
        """Guard against a part of the path that works alone but not with the others."""

        async def scenario(stack):
            lengths = (200, 2_000, 20_000, 90_000)
            results = await asyncio.gather(
                *(
                    send_prompt(
                        stack.session,
                        caller_urls(stack)[index % 3],
                        KEY,
                        sample_prompt(n),
                    )
                    for index, n in enumerate(lengths)
                )
            )
            ticket = await get_ticket(
                stack.session, caller_urls(stack)[0], KEY, PAYMENT
            )
            calls = [
                await send_call(stack.session, url, KEY, PAYMENT, b'{"n":1}', ticket)
                for url in caller_urls(stack)
            ]
            counts = await executions(stack)
            lines = []
            for name in stack.nodes:
                url = stack.operator_url(name) + "/v1/decisions"
                headers = {"Authorization": "Bearer demo-operator"}
                async with stack.session.get(url, headers=headers) as response:
                    lines += (await response.read()).splitlines()
            dumps = [await stack.operate(name, "/v1/dump") for name in stack.nodes]
            return results, calls, counts, lines, dumps

        results, calls, counts, lines, dumps = run_stack(tmp_path, scenario)
        assert [result.verdict for result in results] == [Verdict.COMPLETE] * 4
        assert [call.status for call in calls] == [200, 200, 200]
        assert len({call.body for call in calls}) == 1
        assert counts == {'{"n":1}': 1}
        for dump in dumps:
            assert dump["status"]["settings_revision"] >= 1
            assert dump["counters"]["tasks"]["failed"] == 0
            assert dump["memory"]["groups"] == 0
        assert len(lines) >= 3
        assert {json.loads(line)["decision"] for line in lines} >= {"choose"}

    @pytest.mark.parametrize("service", [PAYMENT, STOCK])
    def test_ticket_of_another_account_is_refused(self, tmp_path, service):
        """Guard against an answer given to another client account."""

        async def scenario(stack):
            first, second, _ = caller_urls(stack)
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
