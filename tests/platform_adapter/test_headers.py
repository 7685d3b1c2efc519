"""Test the headers of clients and workers."""

import pytest

from dandelionpond.forwarding.messages import AttemptHead, Helper
from dandelionpond_platform.headers import PlatformDialect

REQUEST = (
    (b"host", b"a.example"),
    (b"dandelionpond-attempt-id", b"9c41"),
    (b"dandelionpond-deadline-ms", b"10024"),
    (b"dandelionpond-key", b"secret"),
    (b"dandelionpond-tenant", b"forged"),
    (b"dandelionpond-token-count", b"1460,80"),
    (b"dandelionpond-prompt-prefix", b"5c1e07a2:800"),
    (b"last-event-id", b"12"),
    (b"connection", b"keep-alive"),
    (b"transfer-encoding", b"chunked"),
    (b"x-other", b"kept"),
)
HEAD = AttemptHead(1.5, "i-1", "shop", 14, (Helper("h:1", "r/e"), Helper("g:1")), 3)


class TestRequest:
    def test_fields(self):
        """Guard against a header that is read as another one."""
        head = PlatformDialect().parse_request(REQUEST)
        assert head.request_id == "9c41"
        assert head.timeout_s == 10.024
        assert head.api_key == "secret"
        assert (head.prompt_tokens, head.max_output_tokens) == (1460, 80)
        assert head.last_event_id == 12

    @pytest.mark.parametrize("value", [b"", b"x", b"1,y", b",", b"-"])
    def test_bad_numbers_are_no_error(self, value):
        """Guard against a request that ends in an error of the code."""
        headers = (
            (b"dandelionpond-token-count", value),
            (b"dandelionpond-deadline-ms", value),
        )
        head = PlatformDialect().parse_request(headers)
        assert head.max_output_tokens == 0
        assert head.api_key is None

    def test_nothing_there(self):
        """Guard against a plain call that is taken for a prompt."""
        head = PlatformDialect().parse_request(())
        assert (head.request_id, head.timeout_s, head.prompt_tokens) == ("", None, 0)


class TestAttempt:
    def test_own_headers_replace_the_clients(self):
        """Guard against a forged account, a passed on key or an old deadline."""
        sent = PlatformDialect().attempt_headers(REQUEST, HEAD)
        names = [name.lower() for name, _ in sent]
        assert len(names) == len(set(names))
        values = {name.lower(): value for name, value in sent}
        assert values["dandelionpond-tenant"] == "shop"
        assert values["dandelionpond-deadline-ms"] == "1500"
        assert values["dandelionpond-expect-instance"] == "i-1"
        assert values["last-event-id"] == "14"
        assert values["dandelionpond-helpers"] == "h:1/r.e,g:1"
        assert values["dandelionpond-attempt-id"] == "9c41"
        assert values["x-other"] == "kept"
        assert "dandelionpond-key" not in values
        assert "connection" not in values
        assert "transfer-encoding" not in values

    def test_no_account(self):
        """Guard against a client that names its own account on a public route."""
        sent = PlatformDialect().attempt_headers(REQUEST, AttemptHead(1.0, "i-1", None))
        assert "forged" not in [value for _, value in sent]


class TestAnswer:
    @pytest.mark.parametrize(
        ("status", "headers", "is_not_run"),
        [
            (200, (), False),
            (503, (), False),
            (503, ((b"Dandelionpond-Not-Executed", b"1"),), True),
            (400, ((b"dandelionpond-not-executed", b"1"),), True),
            (421, (), True),
            (500, (), False),
            (504, (), False),
        ],
    )
    def test_statement_of_not_run(self, status, headers, is_not_run):
        """Guard against a repeated call because of a 503 that promises nothing."""
        assert (
            PlatformDialect().parse_response(status, headers).is_not_run is is_not_run
        )

    def test_marks(self):
        """Guard against an answer that is vouched for by nobody."""
        headers = (
            (b"Dandelionpond-Server-Stamp", b"x"),
            (b"Content-Encoding", b"gzip"),
            (b"At-Server", b"10.0.0.1:80"),
            (b"Connection", b"close"),
        )
        head = PlatformDialect().parse_response(200, headers)
        assert head.is_stamped and head.is_encoded
        assert head.faulty_upstream == "10.0.0.1:80"

    def test_passed_on_without_framing(self):
        """Guard against a length of the worker's that no longer fits."""
        headers = ((b"Content-Length", b"5"), (b"Connection", b"close"), (b"A", b"b"))
        assert PlatformDialect().forwarded_headers(headers) == [(b"a", b"b")]


class TestRefusal:
    def test_retry_after_in_fractions(self):
        """Guard against clients that wait longer than they are told."""
        headers = dict(PlatformDialect().refusal_headers("9c41", 0.5))
        assert headers[b"retry-after"] == b"0.5"
        assert headers[b"dandelionpond-attempt-id"] == b"9c41"
        assert b"retry-after" not in dict(PlatformDialect().refusal_headers("", None))
