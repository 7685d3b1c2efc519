"""Test how the route and the client account of a request are found."""

import pytest

from dandelionpond.published.messages import (
    Account,
    Route,
    RouteKind,
    RoutingDocument,
    Split,
)
from dandelionpond.published.table import RouteTable


def route(name, prefix, host="a.example", **fields):
    kind = fields.pop("kind", RouteKind.IDEMPOTENT)
    return Route(name, host, prefix, kind, 1.0, 0.1, (Split("s", 1.0),), **fields)


def table(*routes, accounts=()):
    return RouteTable(RoutingDocument(1, routes, (), accounts))


class TestMatch:
    @pytest.mark.parametrize(
        ("path", "expected"),
        [
            ("/a/x", "short"),
            ("/a/b/x", "long"),
            ("/a/b/", "long"),
            ("/a/b", "short"),
            ("/a/bc/x", "short"),
            ("/", None),
            ("/other/x", None),
        ],
    )
    def test_longest_prefix_wins(self, path, expected):
        """Guard against a request that goes to the service of a shorter prefix."""
        matched = table(route("short", "/a/"), route("long", "/a/b/")).match(
            "a.example", path
        )
        assert (matched.name if matched else None) == expected

    def test_other_host_does_not_match(self):
        """Guard against a route that serves requests of another host."""
        assert table(route("one", "/")).match("b.example", "/x") is None

    def test_root_prefix_matches_every_path(self):
        """Guard against a root route that matches only its own path."""
        assert table(route("root", "/")).match("a.example", "/x/y").name == "root"


class TestAccounts:
    def test_key_identifies_its_account(self):
        """Guard against a key that is attributed to another account."""
        first, second = Account("one", ("k1", "k2")), Account("two", ("k3",))
        index = table(accounts=(first, second))
        assert index.needs_key
        assert [index.account_of(key) for key in ("k2", "k3", "k4")] == [
            first,
            second,
            None,
        ]


class TestMayRepeat:
    @pytest.mark.parametrize(
        ("kind", "is_resumable", "expected"),
        [
            (RouteKind.IDEMPOTENT, False, True),
            (RouteKind.NON_IDEMPOTENT, False, False),
            (RouteKind.NON_IDEMPOTENT, True, False),
            (RouteKind.STREAM, False, False),
            (RouteKind.STREAM, True, True),
        ],
    )
    def test_repeat_depends_on_kind_and_resumability(
        self, kind, is_resumable, expected
    ):
        """Guard against a second execution of an at-most-once call."""
        assert (
            route("r", "/", kind=kind, is_resumable=is_resumable).may_repeat is expected
        )
