"""Test the history of a request from log lines."""

import json
from pathlib import Path

import pytest

from dandelionpond_ctl.folder import CommandError
from dandelionpond_ctl.history import MAX_AROUND, history, read_lines


def line(second, message, node="n1", **fields):
    return json.dumps(
        {
            "time": f"2026-12-04 09:00:{second:02d},000",
            "level": "INFO",
            "name": "dandelionpond.requests",
            "message": message,
            "node": node,
            "incarnation": "0-1",
            "settings": "",
            **fields,
        }
    )


def ended(status, *outcomes, second=20, complete=True, why="w", **fields):
    attempts = [
        {"upstream": f"u{number}", "outcome": outcome}
        for number, outcome in enumerate(outcomes)
    ]
    more = {"status": status, "complete": complete, "why": why, "attempts": attempts}
    more |= {"request_id": "r1", "took_s": 2.0}
    return line(second, "request ended", **more, **fields)


def found(tmp_path, *texts):
    file = tmp_path / "n.log"
    file.write_text("\n".join(texts) + "\n")
    return history("r1", read_lines([file]))


class TestCause:
    @pytest.mark.parametrize(
        ("text", "cause"),
        [
            (ended(200, "complete"), "none"),
            (ended(503, why="no upstream"), "it ran nowhere and was refused: no up"),
            (
                ended(502, "not sent: x", "rejected 503", "broken: y"),
                "the outcome is unknown, it may have run at u2",
            ),
            (ended(200, "silent", complete=False), "cut off midway: silent"),
            (ended(0, "broken", complete=False), "the client left"),
            (
                line(20, "request refused", request_id="r1", kind="unknown_path"),
                "refused before it was sent anywhere: unknown_path",
            ),
        ],
    )
    def test_kind_of_failure(self, tmp_path, text, cause):
        """Guard against a cause that sends the operator the wrong way."""
        assert cause in found(tmp_path, text).causes[0]


class TestAround:
    def test_only_what_may_bear_on_the_request(self, tmp_path):
        """Guard against a history that buries the cause in other lines."""
        around = found(
            tmp_path,
            line(2, "metadata store unreachable"),
            line(15, "metadata store unreachable"),
            line(15, "metadata store unreachable", node="n2"),
            line(16, "upstream avoided", upstream="u0"),
            line(16, "upstream avoided", upstream="u9"),
            line(17, "request ended", request_id="r2"),
            line(30, "stopped"),
            ended(502, "broken"),
        ).around
        assert [one.message for one in around] == [
            "metadata store unreachable",
            "upstream avoided",
        ]

    def test_bound(self, tmp_path):
        """Guard against pages of lines for one request."""
        texts = [line(15, "metadata store unreachable") for _ in range(MAX_AROUND + 5)]
        assert len(found(tmp_path, *texts, ended(503)).around) == MAX_AROUND


class TestReadLines:
    def test_other_lines_are_passed_over(self, tmp_path):
        """Guard against one damaged line that hides the rest."""
        lines = found(
            tmp_path,
            "Traceback (most recent call last):",
            '{"message": "log lines left out", "count": 3}',
            "  12.5 front-a-1 " + ended(503),
            ended(503)[:-20],
        ).lines
        assert len(lines) == 1

    def test_unknown_request(self, tmp_path):
        """Guard against an empty history in place of an error."""
        assert found(tmp_path, line(1, "started")) is None

    def test_missing_file(self):
        """Guard against a traceback for a mistyped name."""
        with pytest.raises(CommandError, match="No such file"):
            list(read_lines([Path("/nonexistent/n.log")]))
