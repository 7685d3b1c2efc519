"""Parse the bodies and headers that callers send."""

import re
from typing import Annotated, Literal, TypeVar

import msgspec
from expression import Error, Ok, Result
from starlette.datastructures import Headers

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.requests.settings import RequestsSettings

TIMEOUT_HEADER = "x-request-timeout-ms"
IDEMPOTENCY_HEADER = "idempotency-key"
MAX_KEY_CHARS = 1_024
DEFAULT_MAX_TOKENS = 256

_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_KEY = re.compile(r"^[\x21-\x7e]{1,1024}$")

T = TypeVar("T")

Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Sampling = Annotated[float, msgspec.Meta(ge=0, le=2)]


class CompletionForm(msgspec.Struct, frozen=True):
    """Describe the body of `POST /v1/completions`; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: Count | None = None
    stream: bool = False
    n: Literal[1] = 1
    temperature: Sampling | None = None
    top_p: Sampling | None = None
    seed: int | None = None


class ContentPart(msgspec.Struct, frozen=True):
    """Describe one part of a chat message; only text is accepted."""

    type: Literal["text"]
    text: str


class ChatMessage(msgspec.Struct, frozen=True):
    """Describe one chat message."""

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str | tuple[ContentPart, ...]

    @property
    def text(self) -> str:
        """Return the message's text without markup."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class ChatForm(msgspec.Struct, frozen=True):
    """Describe the body of `POST /v1/chat/completions`; unknown fields are ignored."""

    model: str
    messages: Annotated[tuple[ChatMessage, ...], msgspec.Meta(min_length=1)]
    max_tokens: Count | None = None
    max_completion_tokens: Count | None = None
    stream: bool = False
    n: Literal[1] = 1
    temperature: Sampling | None = None
    top_p: Sampling | None = None
    seed: int | None = None

    @property
    def prompt(self) -> str:
        """Return the messages as one prompt.

        The form does not depend on the length of the conversation, so a longer
        conversation has the shorter one as its prefix and can use its cache.
        """
        return "".join(f"<|{m.role}|>{m.text}<|end|>" for m in self.messages)


def parse(body: bytes, form: type[T]) -> Result[T, Failure]:
    """Decode a JSON body into a form."""
    try:
        return Ok(msgspec.json.decode(body, type=form))
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$")
        param = path.strip("`.") or None
        return Error(Failure(ErrorKind.INVALID_REQUEST, text, param=param))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(Failure(ErrorKind.INVALID_JSON, f"the body is not JSON: {error}"))


def check_headers(headers: Headers) -> Result[None, Failure]:
    """Refuse control characters, which could split a header sent upstream."""
    for name, value in headers.items():
        if _CONTROL.search(value):
            message = f"header {name!r} holds a control character"
            return Error(Failure(ErrorKind.INVALID_HEADER, message, param=name))
    return Ok(None)


def timeout_s(headers: Headers, settings: RequestsSettings) -> Result[float, Failure]:
    """Return the time that the caller grants, in seconds, bounded by the settings."""
    value = headers.get(TIMEOUT_HEADER)
    if value is None:
        return Ok(settings.default_timeout_s)
    if not re.fullmatch(r"-?\d{1,12}", value):
        message = f"{TIMEOUT_HEADER} must be a whole number of milliseconds"
        return Error(Failure(ErrorKind.INVALID_TIMEOUT, message, param=TIMEOUT_HEADER))
    if int(value) <= 0:
        message = "the deadline is already over"
        return Error(Failure(ErrorKind.INVALID_TIMEOUT, message, param=TIMEOUT_HEADER))
    return Ok(min(int(value) / 1000, settings.max_timeout_s))


def idempotency_key(headers: Headers) -> Result[str | None, Failure]:
    """Return the caller's idempotency key, if there is one."""
    value = headers.get(IDEMPOTENCY_HEADER)
    if value is None:
        return Ok(None)
    if not _KEY.fullmatch(value):
        message = (
            f"{IDEMPOTENCY_HEADER} must be 1 to {MAX_KEY_CHARS} visible characters"
        )
        return Error(
            Failure(ErrorKind.INVALID_HEADER, message, param=IDEMPOTENCY_HEADER)
        )
    return Ok(value)
