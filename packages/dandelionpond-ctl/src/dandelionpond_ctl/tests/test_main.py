"""Test the commands check, render and diff and the example folders."""

import hashlib
import json
from pathlib import Path

import pytest

from dandelionpond.config.merge import merge_folder
from dandelionpond_ctl.folder import read_directory
from dandelionpond_ctl.main import run

EXAMPLES = Path(__file__).parents[5] / "examples"
INVALID_SETTINGS = (
    '{"client_accounts": {"acme": {"key_hashes": [], "odd": 1, "weight": "x"}}}'
)


def write_folder(directory: Path, **files: str) -> str:
    """Write files 10-NAME.json and return the directory as text."""
    directory.mkdir(exist_ok=True)
    for name, text in files.items():
        (directory / f"10-{name}.json").write_text(text)
    return str(directory)


class TestCheck:
    def test_all_errors(self, tmp_path, capsys):
        """Guard against a check that stops at the first error."""
        folder = write_folder(tmp_path, a=INVALID_SETTINGS)
        assert run(["check", folder, "--json"]) == 1
        report = json.loads(capsys.readouterr().out)
        assert [error["path"] for error in report["errors"]] == [
            "client_accounts/acme/odd",
            "client_accounts/acme/weight",
        ]
        assert run(["check", folder]) == 1
        assert "client_accounts/acme/odd" in capsys.readouterr().out

    @pytest.mark.parametrize(
        "arguments",
        [["check"], ["check", "/nonexistent"], ["wrong"], ["check", "x", "--odd"]],
    )
    def test_usage_error_is_one_line(self, arguments, capsys):
        """Guard against a traceback or a wrong exit code."""
        assert run(arguments) == 2
        captured = capsys.readouterr()
        assert captured.out == ""
        assert len(captured.err.splitlines()) == 1


class TestRender:
    def test_value_hash_and_file(self, tmp_path, capsys):
        """Guard against a wrong value, digest or file of origin."""
        folder = write_folder(
            tmp_path, a='{"limits": {"max_queue": 1}}', b='{"limits":{"max_queue":2}}'
        )
        assert run(["render", folder, "--json"]) == 0
        report = json.loads(capsys.readouterr().out)
        assert report["settings"] == {"limits": {"max_queue": 2}}
        assert report["origins"] == {"limits/max_queue": "10-b.json"}
        assert run(["render", folder]) == 0
        text = capsys.readouterr().out
        assert report["digest"] in text
        assert "10-b.json" in text

    def test_invalid_folder_is_one_line(self, tmp_path, capsys):
        """Guard against a traceback on an invalid folder."""
        assert run(["render", write_folder(tmp_path, a=INVALID_SETTINGS)]) == 1
        assert len(capsys.readouterr().err.splitlines()) == 1


class TestDiff:
    def test_rules_of_repetition_and_affected_accounts(self, tmp_path, capsys):
        """Guard against a changed at-most-once rule that the diff does not show."""
        account = '{"client_accounts": {"a": {"key_hashes": [], "services": ["*"]}}}'
        first = write_folder(tmp_path / "1", a='{"services": {"pay": {}}}', b=account)
        second = write_folder(
            tmp_path / "2", a='{"services": {"pay": {"idempotent": true}}}', b=account
        )
        assert run(["diff", first, second, "--json"]) == 1
        [change] = json.loads(capsys.readouterr().out)["changes"]
        assert change["kind"] == "rules of repetition"
        assert (change["before"], change["after"]) == ("false", "true")
        assert change["affects"] == ["a"]
        assert run(["diff", first, first]) == 0
        assert run(["diff", first, second]) == 1
        assert "rules of repetition" in " ".join(capsys.readouterr().out.split())


class TestExamples:
    @pytest.mark.parametrize(("name", "engines"), [("mwambao", 16), ("brambilla", 20)])
    def test_size_and_keys(self, name, engines):
        """Guard against examples that differ from the documentation or their README."""
        settings = merge_folder(read_directory(EXAMPLES / name)).ok.settings
        upstreams = list(settings.upstreams.values())
        engine_upstreams = [u for u in upstreams if hasattr(u, "kv_capacity_tokens")]
        assert (len(engine_upstreams), len(upstreams)) == (engines, engines + 3)
        assert len(settings.failure_domains) == 3
        assert {engine.fencing for engine in engine_upstreams} == {
            "enforced",
            "ignored",
        }
        longest_prompt = max(m.max_prompt_tokens for m in settings.models.values())
        assert longest_prompt > 2 * max(
            engine.kv_capacity_tokens for engine in engine_upstreams
        )
        assert {s.idempotent for s in settings.services.values()} == {True, False}
        assert len(settings.client_accounts) == 10
        for account, value in settings.client_accounts.items():
            key_hash = hashlib.sha256(f"demo-{account}".encode()).hexdigest()
            assert value.key_hashes == (key_hash,)
