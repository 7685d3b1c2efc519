"""Decide recorded decisions again and show the first difference."""

from collections.abc import Iterator
from pathlib import Path

from dandelionpond import __version__
from dandelionpond.decisions import REGISTRY
from dandelionpond.record.replay import Report, replay as decide_again
from dandelionpond_ctl.exit_codes import FINDINGS, OK, USAGE
from dandelionpond_ctl.folder import CommandError, load_valid, print_json, print_table
from dandelionpond_ctl.progress import Bar
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
    digest = None if settings is None else load_valid(settings).digest
    report = _replay(file, digest)
    if wants_json(json):
        print_json(report)
    else:
        _print(report, digest)
    return OK if report.is_clean else FINDINGS


def _replay(file: Path, digest: str | None) -> Report:
    try:
        size = file.stat().st_size
        with Bar("deciding again", size) as bar:
            report = decide_again(_lines(file, bar), REGISTRY, __version__, digest)
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}", USAGE) from error
    if not report.total:
        raise CommandError(f"{file}: no records")
    return report


def _lines(file: Path, bar: Bar) -> Iterator[bytes]:
    with file.open("rb") as source:
        for line in source:
            yield line
            bar.advance(len(line))


def _print(report: Report, digest: str | None) -> None:
    rows = [("records", report.total, ""), ("same outcome", report.same, "")]
    rows.append(("different outcome", report.different, ""))
    for version, count in report.other_versions.items():
        text = f"version {version}, this is {__version__}; not decided again"
        rows.append(("another version", count, text))
    for name, count in report.unknown_decisions.items():
        rows.append(("unknown decision", count, name))
    for other, count in report.other_settings.items():
        rows.append(("other settings", count, f"digest {other}, the folder's {digest}"))
    if report.invalid:
        rows.append(("invalid", len(report.invalid), report.invalid[0]))
    cells = [(name, str(count), text) for name, count, text in rows]
    print_table(("result", "records", "note"), cells)
    if report.differences:
        first = report.differences[0]
        print(f"first difference: record {first.seq}, {first.decision}, {first.path}")
        print(f"  recorded  {first.recorded}")
        print(f"  decided   {first.decided}")
