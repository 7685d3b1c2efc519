"""Gateway for tests that responds without upstreams."""

import asyncio
import hashlib

from expression import Error, Ok, Result

from dandelionpond.clock import SystemClock
from dandelionpond.config.schema import ClientAccount, Model, Service, Settings
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.http.gateway import (
    CallAnswer,
    CallRequest,
    Delta,
    End,
    IssuedTicket,
    PromptRequest,
)
from dandelionpond.http.keys import KeyIndex
from dandelionpond.requests.settings import RequestsSettings

KEY = "secret-of-acme"


def make_settings(**requests):
    account = ClientAccount(
        key_hashes=(hashlib.sha256(KEY.encode()).hexdigest(),),
        models=("small",),
        services=("stock",),
    )
    return Settings(
        client_accounts={"acme": account},
        models={
            "small": Model(version="1", max_prompt_tokens=1_000),
            "other": Model(version="1", max_prompt_tokens=1_000),
        },
        services={"stock": Service(idempotent=True), "pay": Service()},
        requests=RequestsSettings(**requests),
    )


class FakeGateway:
    """Gateway that yields scripted events and counts prompts, calls and errors."""

    def __init__(self, events=(), **requests):
        self.settings = make_settings(**requests)
        self.keys = KeyIndex(self.settings)
        self.is_accepting = True
        self.events = events
        self.prompts = 0
        self.closed = asyncio.Event()
        self.calls = 0
        self.errors = []

    def now(self):
        return SystemClock().monotonic()

    def arrived_at(self):
        return self.now()

    async def prompt(self, request: PromptRequest):
        self.prompts += 1
        try:
            for event in self.events:
                if isinstance(event, Delta | End | Failure):
                    yield event
                else:
                    await event()
        finally:
            self.closed.set()

    def issue_ticket(self, account, service) -> Result[IssuedTicket, Failure]:
        return Ok(IssuedTicket("ticket", 600.0))

    async def call(self, request: CallRequest) -> Result[CallAnswer, Failure]:
        self.calls += 1
        if request.key == "full":
            failure = Failure(ErrorKind.OVERLOADED, "full", retry_after_s=0.2)
            return Error(failure)
        return Ok(CallAnswer(200, "application/json", request.body))

    def count_error(self, failure):
        self.errors.append(failure.kind)
