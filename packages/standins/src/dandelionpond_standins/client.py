"""HTTP client that sends prompts and calls to a node and checks the answers."""

import asyncio
import time
from collections.abc import Callable
from enum import StrEnum

import aiohttp
import msgspec

from dandelionpond_standins.engine_text import expected_text

END_OF_STREAM = b"[DONE]"


class Verdict(StrEnum):
    """Outcome of one prompt.

    REFUSED: an error answer reported that the prompt did not run.
    FAILED: any other error.
    TRUNCATED: the stream ended without an end marker, or its text is only a start of
        the expected text.
    WRONG: the stream was complete, but its text was not the expected one.
    """

    COMPLETE = "complete"
    REFUSED = "refused"
    FAILED = "failed"
    TRUNCATED = "truncated"
    WRONG = "wrong"


class PromptResult(msgspec.Struct):
    """Outcome of one prompt with its text and times."""

    verdict: Verdict
    prompt_tokens: int
    status: int = 0
    error: str = ""
    execution: str = ""
    ttft_s: float = 0.0
    total_s: float = 0.0
    longest_gap_s: float = 0.0
    text: str = ""
    request_id: str = ""
    retry_after_s: float = 0.0


class CallResult(msgspec.Struct):
    """Outcome of one plain call; `status` is 0 if no answer arrived."""

    status: int
    body: bytes = b""
    error: str = ""
    execution: str = ""
    repeated: bool = False


class _Choice(msgspec.Struct):
    text: str = ""


class _Error(msgspec.Struct):
    code: str
    execution: str


class _Event(msgspec.Struct):
    choices: tuple[_Choice, ...] = ()
    error: _Error | None = None


class _ErrorBody(msgspec.Struct):
    error: _Error


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt to send.

    `version` is the model version whose text is expected, and `timeout_s` the deadline
    to request.
    """

    model: str
    version: str
    text: str
    max_tokens: int = 32
    timeout_s: float = 60.0

    @property
    def tokens(self) -> int:
        """Return the length in tokens, estimated at 4 characters per token."""
        return max(1, -(-len(self.text) // 4))


def make_text(tokens: int, seed: str, shared: str = "") -> str:
    """Return a text of `tokens` tokens at 4 characters each.

    The text starts with `shared`, cut to this length if necessary, and continues with
    repetitions of `seed`.
    """
    word = f"{seed}:"
    filler_length = max(0, tokens * 4 - len(shared))
    filler = word * (filler_length // len(word) + 1)
    return shared[: tokens * 4] + filler[:filler_length]


async def send_prompt(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    prompt: Prompt,
    on_gap: Callable[[float], object] | None = None,
) -> PromptResult:
    """Send a prompt, read its event stream and compare the text with the expected one.

    `on_gap` is called with the seconds between two consecutive events with text.
    """
    result = PromptResult(Verdict.FAILED, prompt.tokens)
    headers = {
        "Authorization": f"Bearer {key}",
        "X-Request-Timeout-Ms": str(int(prompt.timeout_s * 1000)),
    }
    body = {
        "model": prompt.model,
        "prompt": prompt.text,
        "max_tokens": prompt.max_tokens,
        "stream": True,
    }
    start = time.monotonic()
    try:
        async with session.post(
            f"{url}/v1/completions", json=body, headers=headers
        ) as response:
            result.status = response.status
            result.request_id = response.headers.get("X-Request-Id", "")
            if response.status != 200:
                failure = msgspec.json.decode(await response.read(), type=_ErrorBody)
                result.retry_after_s = float(response.headers.get("Retry-After", "0"))
                result.error = failure.error.code
                result.execution = failure.error.execution
                result.verdict = (
                    Verdict.REFUSED if result.execution == "not_run" else Verdict.FAILED
                )
            else:
                await _read_stream(response, prompt, result, start, on_gap)
    except (aiohttp.ClientError, OSError, msgspec.DecodeError) as error:
        result.error = type(error).__name__
        result.verdict = Verdict.TRUNCATED if result.text else Verdict.FAILED
    result.total_s = time.monotonic() - start
    return result


async def send_prompt_with_retries(
    session: aiohttp.ClientSession, url: str, key: str, prompt: Prompt
) -> PromptResult:
    """Send a prompt and repeat it while the answers have `Retry-After`.

    Return the result of the last try. A try that ends after `prompt.timeout_s` seconds
    is not repeated.
    """
    deadline = time.monotonic() + prompt.timeout_s
    while True:
        result = await send_prompt(session, url, key, prompt)
        if not result.retry_after_s or time.monotonic() > deadline:
            return result
        await asyncio.sleep(result.retry_after_s)


async def _read_stream(
    response: aiohttp.ClientResponse,
    prompt: Prompt,
    result: PromptResult,
    start: float,
    on_gap: Callable[[float], object] | None,
) -> None:
    result.verdict = Verdict.TRUNCATED
    previous_text_at = start
    parts: list[str] = []
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        data = line[6:].strip()
        if data == END_OF_STREAM:
            result.verdict = Verdict.COMPLETE
            break
        event = msgspec.json.decode(data, type=_Event)
        if event.error is not None:
            result.error = event.error.code
            result.execution = event.error.execution
            result.verdict = Verdict.FAILED
            break
        text = event.choices[0].text if event.choices else ""
        if not text:
            continue
        now = time.monotonic()
        if not parts:
            result.ttft_s = now - start
        else:
            result.longest_gap_s = max(result.longest_gap_s, now - previous_text_at)
            if on_gap is not None:
                on_gap(now - previous_text_at)
        previous_text_at = now
        parts.append(text)
    result.text = "".join(parts)
    if result.verdict is Verdict.COMPLETE:
        expected = expected_text(
            prompt.model, prompt.version, prompt.text, prompt.max_tokens
        )
        if result.text != expected:
            result.verdict = (
                Verdict.TRUNCATED if expected.startswith(result.text) else Verdict.WRONG
            )


async def get_ticket(
    session: aiohttp.ClientSession, url: str, key: str, service: str
) -> str:
    """Return a new ticket for a service, or an empty string on an error status."""
    headers = {"Authorization": f"Bearer {key}"}
    endpoint = f"{url}/v1/services/{service}/tickets"
    async with session.post(endpoint, headers=headers) as response:
        if response.status != 201:
            return ""
        return str((await response.json())["ticket"])


async def send_call(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    service: str,
    body: bytes,
    idempotency_key: str | None = None,
    timeout_s: float = 30.0,
) -> CallResult:
    """Send a plain call and return its outcome.

    A failed or lost connection gives status 0 and the execution state `may_have_run`.
    """
    headers = {
        "Authorization": f"Bearer {key}",
        "X-Request-Timeout-Ms": str(int(timeout_s * 1000)),
    }
    if idempotency_key is not None:
        headers["Idempotency-Key"] = idempotency_key
    endpoint = f"{url}/v1/services/{service}/calls"
    try:
        async with session.post(endpoint, data=body, headers=headers) as response:
            data = await response.read()
            result = CallResult(
                response.status, data, execution=response.headers.get("X-Execution", "")
            )
            result.repeated = response.headers.get("X-Repeated-Outcome") == "true"
            if response.status >= 400 and b'"error"' in data:
                result.error = msgspec.json.decode(data, type=_ErrorBody).error.code
            return result
    except (aiohttp.ClientError, OSError, msgspec.DecodeError) as error:
        return CallResult(0, error=type(error).__name__, execution="may_have_run")
