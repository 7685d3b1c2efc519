"""Test how requests find their route and client account."""

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
        """Guard against a request that runs at the service of a shorter prefix."""
        found = table(route("short", "/a/"), route("long", "/a/b/")).match(
            "a.example", path
        )
        assert (found.name if found else None) == expected

    def test_hosts_are_apart(self):
        """Guard against a route that answers for another host."""
        assert table(route("one", "/")).match("b.example", "/x") is None

    def test_root_prefix_matches_every_path(self):
        """Guard against a root route that only matches its own path."""
        assert table(route("root", "/")).match("a.example", "/x/y").name == "root"


class TestAccounts:
    def test_key_leads_to_its_account(self):
        """Guard against a key that is taken for another account's."""
        one, two = Account("one", ("k1", "k2")), Account("two", ("k3",))
        found = table(accounts=(one, two))
        assert found.needs_key
        assert [found.account_of(key) for key in ("k2", "k3", "k4")] == [one, two, None]


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
    def test_kind_decides(self, kind, is_resumable, expected):
        """Guard against a second run of a call that must run at most once."""
        assert (
            route("r", "/", kind=kind, is_resumable=is_resumable).may_repeat is expected
        )
