"""Test the history of a request that is built from log lines."""

import json
from pathlib import Path

import pytest

from dandelionpond_ctl.folder import CommandError
from dandelionpond_ctl.history import MAX_RELATED_LINES, build_history, read_lines


def log_line(second, message, node="n1", **fields):
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


def request_ended(status, *outcomes, second=20, complete=True, why="w", **fields):
    attempts = [
        {"upstream": f"u{number}", "outcome": outcome}
        for number, outcome in enumerate(outcomes)
    ]
    more_fields = {
        "status": status,
        "complete": complete,
        "why": why,
        "attempts": attempts,
    }
    more_fields |= {"request_id": "r1", "took_s": 2.0}
    return log_line(second, "request ended", **more_fields, **fields)


def history_of(tmp_path, *texts):
    file = tmp_path / "n.log"
    file.write_text("\n".join(texts) + "\n")
    return build_history("r1", read_lines([file]))


class TestCause:
    @pytest.mark.parametrize(
        ("text", "cause"),
        [
            (request_ended(200, "complete"), "none"),
            (
                request_ended(503, why="no upstream"),
                "it ran nowhere and was refused: no up",
            ),
            (
                request_ended(502, "not sent: x", "rejected 503", "broken: y"),
                "the outcome is unknown, it may have run at u2",
            ),
            (request_ended(200, "silent", complete=False), "cut off midway: silent"),
            (request_ended(0, "broken", complete=False), "the client left"),
            (
                log_line(20, "request refused", request_id="r1", kind="unknown_path"),
                "refused before it was sent anywhere: unknown_path",
            ),
        ],
    )
    def test_cause_of_each_outcome(self, tmp_path, text, cause):
        """Guard against a wrong cause, which would mislead the operator."""
        assert cause in history_of(tmp_path, text).causes[0]


class TestAround:
    def test_only_related_lines(self, tmp_path):
        """Guard against unrelated lines, among which the cause is hard to find."""
        around = history_of(
            tmp_path,
            log_line(2, "metadata store unreachable"),
            log_line(15, "metadata store unreachable"),
            log_line(15, "metadata store unreachable", node="n2"),
            log_line(16, "upstream avoided", upstream="u0"),
            log_line(16, "upstream avoided", upstream="u9"),
            log_line(17, "request ended", request_id="r2"),
            log_line(30, "stopped"),
            request_ended(502, "broken"),
        ).around
        assert [entry.message for entry in around] == [
            "metadata store unreachable",
            "upstream avoided",
        ]

    def test_at_most_the_maximum(self, tmp_path):
        """Guard against an unlimited number of related lines for one request."""
        texts = [
            log_line(15, "metadata store unreachable")
            for _ in range(MAX_RELATED_LINES + 5)
        ]
        assert (
            len(history_of(tmp_path, *texts, request_ended(503)).around)
            == MAX_RELATED_LINES
        )


class TestReadLines:
    def test_other_lines_are_skipped(self, tmp_path):
        """Guard against one invalid line that stops the reading of the rest."""
        lines = history_of(
            tmp_path,
            "Traceback (most recent call last):",
            '{"message": "log lines left out", "count": 3}',
            "  12.5 front-a-1 " + request_ended(503),
            request_ended(503)[:-20],
        ).lines
        assert len(lines) == 1

    def test_unknown_request(self, tmp_path):
        """Guard against an empty history for a request that no line names."""
        assert history_of(tmp_path, log_line(1, "started")) is None

    def test_missing_file(self):
        """Guard against a traceback for a file that does not exist."""
        with pytest.raises(CommandError, match="No such file"):
            list(read_lines([Path("/nonexistent/n.log")]))
