"""Schemas of request bodies and parsers for request bodies and headers."""

import re
from typing import Annotated, Literal, TypeVar

import msgspec
from expression import Error, Ok, Result
from starlette.datastructures import Headers

from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.requests.settings import RequestsSettings

TIMEOUT_HEADER = "x-request-timeout-ms"
IDEMPOTENCY_HEADER = "idempotency-key"
MAX_IDEMPOTENCY_KEY_CHARS = 1_024
DEFAULT_MAX_TOKENS = 256

_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_IDEMPOTENCY_KEY = re.compile(r"^[\x21-\x7e]{1,1024}$")

BodyT = TypeVar("BodyT")

TokenCount = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
SamplingParameter = Annotated[float, msgspec.Meta(ge=0, le=2)]


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of `POST /v1/completions`; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: TokenCount | None = None
    stream: bool = False
    n: Literal[1] = 1
    temperature: SamplingParameter | None = None
    top_p: SamplingParameter | None = None
    seed: int | None = None


class ContentPart(msgspec.Struct, frozen=True):
    """Part of a chat message; only text is accepted."""

    type: Literal["text"]
    text: str


class ChatMessage(msgspec.Struct, frozen=True):
    """Chat message whose content is a string or a list of text parts."""

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str | tuple[ContentPart, ...]

    @property
    def text(self) -> str:
        """Return the concatenated text of the message."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class ChatBody(msgspec.Struct, frozen=True):
    """Body of `POST /v1/chat/completions`; unknown fields are ignored."""

    model: str
    messages: Annotated[tuple[ChatMessage, ...], msgspec.Meta(min_length=1)]
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool = False
    n: Literal[1] = 1
    temperature: SamplingParameter | None = None
    top_p: SamplingParameter | None = None
    seed: int | None = None

    @property
    def prompt(self) -> str:
        """Return the messages joined into one prompt.

        Each message is formatted independently of the others, so the prompt of a
        conversation is a prefix of its continuation and the prefix cache applies.
        """
        return "".join(
            f"<|{message.role}|>{message.text}<|end|>" for message in self.messages
        )


def parse_body(body: bytes, body_type: type[BodyT]) -> Result[BodyT, Failure]:
    """Decode and validate a JSON body."""
    try:
        return Ok(msgspec.json.decode(body, type=body_type))
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$")
        param = path.strip("`.") or None
        return Error(Failure(ErrorKind.INVALID_REQUEST, text, param=param))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Error(
            Failure(ErrorKind.INVALID_JSON, f"the body is not valid JSON: {error}")
        )


def check_headers(headers: Headers) -> Result[None, Failure]:
    """Reject control characters, which allow header injection upstream."""
    for name, value in headers.items():
        if _CONTROL_CHARACTER.search(value):
            message = f"header {name!r} contains a control character"
            return Error(Failure(ErrorKind.INVALID_HEADER, message, param=name))
    return Ok(None)


def requested_timeout_s(
    headers: Headers, settings: RequestsSettings
) -> Result[float, Failure]:
    """Return the requested timeout in seconds, capped by the settings."""
    value = headers.get(TIMEOUT_HEADER)
    if value is None:
        return Ok(settings.default_timeout_s)
    if not re.fullmatch(r"-?\d{1,12}", value):
        message = f"{TIMEOUT_HEADER} must be a whole number of milliseconds"
        return Error(Failure(ErrorKind.INVALID_TIMEOUT, message, param=TIMEOUT_HEADER))
    if int(value) <= 0:
        message = "the timeout must be greater than 0"
        return Error(Failure(ErrorKind.INVALID_TIMEOUT, message, param=TIMEOUT_HEADER))
    return Ok(min(int(value) / 1000, settings.max_timeout_s))


def idempotency_key(headers: Headers) -> Result[str | None, Failure]:
    """Return the idempotency key of a request, or None if it has none."""
    value = headers.get(IDEMPOTENCY_HEADER)
    if value is None:
        return Ok(None)
    if not _IDEMPOTENCY_KEY.fullmatch(value):
        message = (
            f"{IDEMPOTENCY_HEADER} must be 1 to {MAX_IDEMPOTENCY_KEY_CHARS} "
            "visible ASCII characters"
        )
        return Error(
            Failure(ErrorKind.INVALID_HEADER, message, param=IDEMPOTENCY_HEADER)
        )
    return Ok(value)
