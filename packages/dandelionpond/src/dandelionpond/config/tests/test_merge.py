"""Test merging, validation and the reuse of unchanged files."""

import hashlib
import json
import random

import json_merge_patch
import msgspec
import pytest

from dandelionpond.config.merge import Merger, SettingsError, merge_folder

BASE = {
    "failure_domains": {"a": {}},
    "models": {"m": {"version": "1", "max_prompt_tokens": 10}},
    "services": {"pay": {}},
}


def account(key: str = "k", **fields: object) -> dict[str, object]:
    """Return an account that accepts a key."""
    return {"key_hashes": [hashlib.sha256(key.encode()).hexdigest()], **fields}


def folder(*documents: object) -> dict[str, bytes]:
    """Return the documents as files 10-f.json, 11-f.json and so on."""
    return {f"{10 + i}-f.json": json.dumps(d).encode() for i, d in enumerate(documents)}


def errors(files: dict[str, bytes]) -> list[tuple[str, str, str]]:
    """Return the errors of a folder as tuples."""
    return [(e.file, e.path, e.reason) for e in merge_folder(files).error]


class TestMergeFolder:
    def test_later_file_wins_and_null_removes(self):
        """A later file must override an earlier one, and null remove a value.

        Origins must name the file that each value comes from.
        """
        files = folder(BASE, {"limits": {"max_queue": 1, "grant_ttl_s": 2}})
        files["20-x.json"] = b'{"limits": {"max_queue": 7, "grant_ttl_s": null}}'
        merged = merge_folder(files).ok
        assert merged.settings.limits.max_queue == 7
        assert merged.settings.limits.grant_ttl_s == 10.0
        assert merged.origins["limits/max_queue"] == "20-x.json"
        assert "limits/grant_ttl_s" not in merged.origins
        assert merged.origins["models/m/version"] == "10-f.json"

    def test_all_errors_are_reported(self):
        """All errors must be reported at once, not one per publication."""
        problems = errors(
            folder(
                BASE,
                {
                    "client_accounts": {
                        "acme": account(
                            models=["x"], limits={"concurrency": "5", "odd": 1}
                        ),
                        "beta": account("b", models=["x"], services=["y"]),
                    },
                    "nothing": {},
                },
                {"upstreams": {"u/1": {"kind": "service", "url": 1, "services": []}}},
            )
        )
        assert [(file, path) for file, path, _ in problems] == [
            ("11-f.json", "client_accounts/acme/limits/concurrency"),
            ("11-f.json", "client_accounts/acme/limits/odd"),
            ("11-f.json", "client_accounts/beta/models/0"),
            ("11-f.json", "client_accounts/beta/services/0"),
            ("11-f.json", "nothing"),
            ("12-f.json", "upstreams/u~11/failure_domain"),
            ("12-f.json", "upstreams/u~11/url"),
        ]

    @pytest.mark.parametrize(
        ("name", "data", "path", "reason"),
        [
            ("10-a.json", b"{", "", "invalid JSON"),
            ("10-a.json", b"[]", "", "JSON object"),
            ("10-a.json", b'{"limits": {"max_queue": NaN}}', "", "invalid JSON"),
            ("10-a.json", b'{"limits": {"max_queue": 1e999}}', "", "invalid JSON"),
            ("10-a.json", b'{"models": {"\\ud800": {}}}', "", "invalid JSON"),
            ("10-a.json", b"\xff", "", "invalid JSON"),
            ("10-a.json", b'{"a": ' * 40, "", "nested"),
            ("10-a.json", b" " * 1_000_001, "", "more than 1000000"),
            ("a.json", b"{}", "", "file name"),
            ("10-a/b.json", b"{}", "", "file name"),
            (
                "10-a.json",
                b'{"limits": {"max_queue": 1, "max_queue": 2}}',
                "limits/max_queue",
                "duplicate key",
            ),
        ],
    )
    def test_file_refused(self, name, data, path, reason):
        """A file that two parsers could read differently must be refused.

        So must one with an invalid name and one that exceeds a limit.
        """
        [(file, error_path, error_reason)] = errors({name: data})
        assert (file, error_path) == (name, path)
        assert reason in error_reason

    def test_account_in_two_files_is_refused(self):
        """A file must not change an account that another file defines."""
        files = folder(
            BASE,
            {"client_accounts": {"acme": account()}},
            {"client_accounts": {"acme": {"weight": 2.0}}},
        )
        assert errors(files) == [
            (
                "12-f.json",
                "client_accounts/acme",
                "account is already defined in 11-f.json",
            )
        ]

    def test_shared_key_hash_is_refused(self):
        """A key must belong to only one account."""
        files = folder(BASE, {"client_accounts": {"a": account(), "b": account()}})
        [(file, path, reason)] = errors(files)
        assert (file, path) == ("11-f.json", "client_accounts/b/key_hashes/0")
        assert "'a'" in reason

    def test_upstream_with_unknown_references_is_refused(self):
        """An upstream must not name an unknown failure domain or model."""
        engine = {"kind": "engine", "failure_domain": "z", "url": "u", "models": ["q"]}
        problems = errors(folder(BASE, {"upstreams": {"e": engine}}))
        assert [path for _, path, _ in problems] == [
            "upstreams/e/failure_domain",
            "upstreams/e/models/0",
        ]


def _random_document(rng: random.Random) -> dict[str, object]:
    def model() -> object:
        full = {"version": "1", "max_prompt_tokens": rng.choice([1, 2, "x"])}
        return rng.choice([full, full, None, {"version": rng.choice("ab")}, 5])

    def engine() -> object:
        models = [rng.choice("mn")]
        return {"kind": "engine", "failure_domain": "a", "url": "u", "models": models}

    choices: dict[str, object] = {
        "models": rng.choice(
            [{}, None, {n: model() for n in "mn"}, {"m": model()}, {"m": model()}]
        ),
        "client_accounts": {
            n: rng.choice([account(rng.choice("kl")), None, {"models": ["n"]}])
            for n in rng.sample("cd", rng.randint(0, 2))
        },
        "limits": rng.choice([{"max_queue": rng.randint(1, 3)}, None, 4, {}]),
        "failure_domains": rng.choice([{"a": {}}, {"a": {}}, {"a": None}]),
        "upstreams": rng.choice([{"u": engine()}, {"u": engine()}, {"u": None}, 3]),
    }
    names = rng.sample(sorted(choices), rng.randint(0, 3))
    return {name: choices[name] for name in names}


class TestMerger:
    def test_reuse_gives_the_same_result(self):
        """A merge must not depend on what the node has merged before.

        `Merger` reuses results for unchanged files. They must equal those of a merge
        from scratch and of a JSON merge patch of all documents.
        """
        rng = random.Random(7)
        merger, files, accepted = Merger(), {}, 0
        for _ in range(1_500):
            name = f"1{rng.randint(0, 3)}-f.json"
            if rng.random() < 0.3 or files.get(name) == b"{":
                files.pop(name, None)
            elif rng.random() < 0.05:
                files[name] = b"{"
            else:
                files[name] = json.dumps(_random_document(rng)).encode()
            reused, fresh = merger.merge(files), merge_folder(files)
            if fresh.is_error():
                assert reused.error == fresh.error
                assert all(isinstance(e, SettingsError) for e in fresh.error)
                continue
            accepted += 1
            documents = [json.loads(files[name]) for name in sorted(files)]
            merged_document = json_merge_patch.merge({}, *documents)
            text = msgspec.json.encode(merged_document, order="sorted")
            assert fresh.ok.document == merged_document == reused.ok.document
            assert fresh.ok.digest == hashlib.blake2b(text, digest_size=32).hexdigest()
            assert reused.ok.digest == fresh.ok.digest
            assert reused.ok.settings == fresh.ok.settings
            assert reused.ok.origins == fresh.ok.origins
        assert accepted > 100
