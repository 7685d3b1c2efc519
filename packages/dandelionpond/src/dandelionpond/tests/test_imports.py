"""Test that decision slices stay free of I/O, clocks and global random sources."""

import ast
from pathlib import Path

import pytest

import dandelionpond

PACKAGE = Path(dandelionpond.__file__).parent
SLICES = (
    "config",
    "membership",
    "limits",
    "routing",
    "requests",
    "memory",
    "orders",
    "shutdown",
    "record",
    "published",
    "placement",
    "forwarding",
    "mesh",
)
SHARED = ("errors.py", "hashing.py", "identity.py")
PERMITTED = {
    "base64",
    "binascii",
    "bisect",
    "collections",
    "dataclasses",
    "enum",
    "expression",
    "functools",
    "hashlib",
    "heapq",
    "hmac",
    "itertools",
    "json",
    "json_merge_patch",
    "math",
    "msgspec",
    "random",
    "re",
    "statistics",
    "types",
    "typing",
    "xxhash",
}
# Functions of the random module that draw from its global source.
GLOBAL_RANDOM = {
    "random",
    "randint",
    "choice",
    "choices",
    "sample",
    "shuffle",
    "uniform",
    "getrandbits",
    "expovariate",
}


def decision_modules():
    paths = [path for name in SLICES for path in sorted((PACKAGE / name).glob("*.py"))]
    return paths + [PACKAGE / name for name in SHARED]


def imported(tree):
    for node in ast.walk(tree):
        match node:
            case ast.Import(names=names):
                yield from (alias.name for alias in names)
            case ast.ImportFrom(module=module):
                yield module or ""


def is_permitted(name):
    root, _, rest = name.partition(".")
    if root != "dandelionpond":
        return root in PERMITTED
    inner = rest.partition(".")[0]
    return inner in {*SLICES, "errors", "hashing", "identity", ""}


class TestDecisionSlices:
    @pytest.mark.parametrize(
        "path", decision_modules(), ids=lambda path: f"{path.parent.name}/{path.name}"
    )
    def test_imports_no_io(self, path):
        """Guard against a decision that cannot be replayed or put into a table.

        `clock` is not permitted either: the time is an argument of each decision.
        """
        tree = ast.parse(path.read_text())
        assert [name for name in imported(tree) if not is_permitted(name)] == []
        calls = [
            node
            for node in ast.walk(tree)
            if isinstance(node, ast.Attribute)
            and isinstance(node.value, ast.Name)
            and node.value.id == "random"
            and node.attr in GLOBAL_RANDOM
        ]
        is_global = any(
            isinstance(node, ast.Import) and any(a.name == "random" for a in node.names)
            for node in ast.walk(tree)
        )
        assert not (calls and is_global)
        opened = [
            node
            for node in ast.walk(tree)
            if isinstance(node, ast.Call)
            and isinstance(node.func, ast.Name)
            and node.func.id in ("open", "print", "input")
        ]
        assert opened == []
