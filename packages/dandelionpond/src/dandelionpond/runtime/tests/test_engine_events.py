"""Test what the events of an engine's stream tell the attempts of a prompt."""

from types import SimpleNamespace

import pytest

from dandelionpond.adapters.engine_api import Broken, EngineRequest
from dandelionpond.errors import ErrorKind, Failure
from dandelionpond.requests.messages import ConnectFailed, Refused
from dandelionpond.runtime.engine_events import EngineEventTranslator

REQUEST = EngineRequest("r-1", "owner", "m", 10, version="v1")
NOT_SENT = Broken(
    "not_sent", Failure(ErrorKind.UPSTREAM_UNREACHABLE, "was not sent"), False
)


class TestEngineEvents:
    @pytest.mark.parametrize(
        ("can_serve", "event"), [(True, ConnectFailed(1)), (False, Refused(1))]
    )
    def test_prompt_held_back_from_a_loading_engine(self, can_serve, event):
        """Guard against a prompt that fails for a change of version seen in time.

        It is placed again without a retry, like one that the engine refused.
        """
        engines = SimpleNamespace(can_serve=lambda engine, model, version: can_serve)
        events = EngineEventTranslator(engines)
        assert events.translate(1, "e", REQUEST, NOT_SENT) == event
        assert events.is_model_refused is not can_serve
