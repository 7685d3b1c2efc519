"""Test the whole path with real processes."""

import asyncio
import contextlib
import json
import os
from pathlib import Path

import pytest

from dandelionpond_standins.client import Verdict, get_ticket, send_call, send_prompt
from dandelionpond_standins.example_settings import KEY, OTHER_KEY, PAYMENT, STOCK
from dandelionpond_standins.launcher import OPERATOR_KEY
from dandelionpond_standins.stack_helpers import (
    caller_urls,
    count_executions,
    example_prompt,
    run_stack,
)


def open_files(pid):
    """Return what the file descriptors of a process refer to."""
    found = []
    for link in Path(f"/proc/{pid}/fd").iterdir():
        # A descriptor may be closed between listing and reading.
        with contextlib.suppress(FileNotFoundError):
            found.append(os.readlink(link))
    return found


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
                        example_prompt(n),
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
            counts = await count_executions(stack)
            lines = []
            for name in stack.nodes:
                url = stack.operator_url(name) + "/v1/decisions"
                headers = {"Authorization": "Bearer demo-operator"}
                async with stack.session.get(url, headers=headers) as response:
                    lines += (await response.read()).splitlines()
            dumps = [
                await stack.call_operator_api(name, "/v1/dump") for name in stack.nodes
            ]
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


class TestSecrets:
    def test_keys_and_contents_stay_out_of_logs_dumps_and_records(self, tmp_path):
        """Guard against keys, tickets and prompt text that leak to operators' views.

        The same run checks that a node uses no io_uring, which the standard event loop
        does not need.
        """
        marker = "confidential-text"

        async def scenario(stack):
            url = caller_urls(stack)[0]
            result = await send_prompt(
                stack.session, url, KEY, example_prompt(500, seed=marker)
            )
            ticket = await get_ticket(stack.session, url, KEY, PAYMENT)
            body = f'{{"memo":"{marker}"}}'.encode()
            for each in caller_urls(stack):
                await send_call(stack.session, each, KEY, PAYMENT, body, ticket)
            await send_call(stack.session, url, "wrong-" + KEY, PAYMENT, body, ticket)
            views = [stack.read_log(name) for name in stack.nodes]
            headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
            for name in stack.nodes:
                for path in ("/v1/dump", "/v1/status", "/v1/usage", "/v1/decisions"):
                    url = stack.operator_url(name) + path
                    async with stack.session.get(url, headers=headers) as response:
                        views.append(await response.text())
                url = stack.operator_url(name) + "/metrics"
                async with stack.session.get(url, headers=headers) as response:
                    views.append(await response.text())
            links = [
                link
                for child in stack.nodes.values()
                for link in open_files(child.process.pid)
            ]
            return result, ticket, views, links

        result, ticket, views, links = run_stack(tmp_path, scenario)
        assert result.verdict is Verdict.COMPLETE
        secrets = [KEY, "wrong-" + KEY, OPERATOR_KEY, ticket, ticket[-43:], marker]
        secrets.append(result.text.split()[0])
        for view in views:
            assert [secret for secret in secrets if secret in view] == []
        assert links and not [link for link in links if "io_uring" in link]
