"""Replay recorded decisions and show the first different outcome."""

from collections.abc import Iterator
from pathlib import Path

from dandelionpond import __version__
from dandelionpond.decisions import REGISTRY
from dandelionpond.record.replay import Report, replay as replay_records
from dandelionpond_ctl.exit_codes import FINDINGS, OK, USAGE
from dandelionpond_ctl.folder import (
    CommandError,
    load_valid_settings,
    print_json,
    print_table,
)
from dandelionpond_ctl.progress import ProgressBar
from dandelionpond_ctl.user_settings import wants_json


def replay(
    file: Path,
    /,
    *,
    settings: Path | None = None,
    json: bool | None = None,
) -> int:
    """Decide each record again and show the first difference.

    The exit code is 0 only if each record was decided again with the same outcome, by
    this version and, with `--settings`, under that folder.

    Parameters
    ----------
    file
        Decision records as JSON lines, as `record` writes them.
    settings
        Folder of published files that the records should have been decided under.
    json
        Print the whole report as JSON in place of a table.
    """
    digest = None if settings is None else load_valid_settings(settings).digest
    report = _replay_file(file, digest)
    if wants_json(json):
        print_json(report)
    else:
        _print_report(report, digest)
    return OK if report.is_clean else FINDINGS


def _replay_file(file: Path, digest: str | None) -> Report:
    try:
        size = file.stat().st_size
        with ProgressBar("deciding again", size) as bar:
            report = replay_records(
                _read_lines(file, bar), REGISTRY, __version__, digest
            )
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}", USAGE) from error
    if not report.total:
        raise CommandError(f"{file}: no records")
    return report


def _read_lines(file: Path, bar: ProgressBar) -> Iterator[bytes]:
    with file.open("rb") as source:
        for line in source:
            yield line
            bar.advance(len(line))


def _print_report(report: Report, digest: str | None) -> None:
    rows = [("records", report.total, ""), ("same outcome", report.same, "")]
    rows.append(("different outcome", report.different, ""))
    for version, count in report.other_versions.items():
        note = f"version {version}, this is {__version__}; not decided again"
        rows.append(("another version", count, note))
    for name, count in report.unknown_decisions.items():
        rows.append(("unknown decision", count, name))
    for other, count in report.other_settings.items():
        rows.append(("other settings", count, f"digest {other}, the folder's {digest}"))
    if report.invalid:
        rows.append(("invalid", len(report.invalid), report.invalid[0]))
    text_rows = [(name, str(count), note) for name, count, note in rows]
    print_table(("result", "records", "note"), text_rows)
    if report.differences:
        difference = report.differences[0]
        print(
            f"first difference: record {difference.seq}, {difference.decision}, "
            f"{difference.path}"
        )
        print(f"  recorded  {difference.recorded}")
        print(f"  decided   {difference.decided}")
