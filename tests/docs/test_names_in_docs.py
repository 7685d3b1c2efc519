"""Check that the names which the pages put in backticks exist in the code."""

import ast
import builtins
import keyword
import os
import re
from functools import cache
from pathlib import Path

ROOT = Path(__file__).parents[2]
# Folders that tools write.
SKIPPED_FOLDERS = {"out", "target", "journal", "node_modules"}
CODE_SUFFIXES = {".py", ".pyi", ".proto", ".toml", ".json", ".sh", ".in", ""}
# Names that the pages use and the code cannot contain, with the reason.
OUTSIDE_NAMES = {
    "_at_bound": "ending of a counter that is composed of the kind and the event",
    "call_refused": "counter that is composed of the kind and the event",
    "call_taken": "counter that is composed of the kind and the event",
    "Class": "placeholder for the class in the identifier of a test",
    "CLOCK_MONOTONIC": "clock of the operating system",
    "crocks": "part of the name of a site of the users' platform",
    "event_engine": "threads of gRPC",
    "fleetbench": "program of the users' platform",
    "grpc_global_timer": "thread of gRPC",
    "hunt": "command of the users' platform",
    "io_uring_setup": "system call",
    "lifeguard": "thread of gRPC",
    "on_request_headers_sent": "hook of aiohttp",
    "_poll_wrapper": "thread of grpcio",
    "sweep": "command of the users' platform",
    "UNAVAILABLE": "status code of gRPC",
    "worth": "figure that the users' platform prints",
}
BACKTICKS = re.compile(r"`([^`]+)`")
FENCED_BLOCK = re.compile(r"^```.*?^```", re.DOTALL | re.MULTILINE)
COMMENT = re.compile(r"(#|//).*")
WORD = re.compile(r"\w+")
MODULE = re.compile(r"\b(dandelionpond(?:_\w+)?)\.(\w+)")
TEST_IDENTIFIER = re.compile(r"([\w/.]+\.py)::(\w+)(?:::(\w+))?")
SOURCE_FOLDERS = (
    "packages/dandelionpond/src",
    "packages/dandelionpond-ctl/src",
    "packages/standins/src",
    "platform",
)


@cache
def list_files() -> tuple[Path, ...]:
    """Return the repository's files, without those that tools write."""
    paths = []
    for folder, subfolders, names in os.walk(ROOT):
        subfolders[:] = [
            name
            for name in subfolders
            if name == ".ci"
            or not (
                name.startswith(".")
                or name.endswith(".egg-info")
                or name in SKIPPED_FOLDERS
            )
        ]
        paths += [Path(folder, name) for name in names if not name.startswith(".")]
    return tuple(paths)


def read_python_words(text: str) -> set[str]:
    """Return the names and the words of strings, without comments and docstrings."""
    words: set[str] = set()
    docstrings: set[int] = set()
    # `ast.walk` visits a definition before its docstring.
    for node in ast.walk(ast.parse(text)):
        match node:
            case (
                ast.Module(body=[ast.Expr(value=ast.Constant() as first), *_])
                | ast.ClassDef(body=[ast.Expr(value=ast.Constant() as first), *_])
                | ast.FunctionDef(body=[ast.Expr(value=ast.Constant() as first), *_])
                | ast.AsyncFunctionDef(
                    body=[ast.Expr(value=ast.Constant() as first), *_]
                )
            ):
                docstrings.add(id(first))
            case ast.Constant(value=bytes() as content):
                words.update(WORD.findall(content.decode("latin-1")))
            case ast.Constant(value=str() as content) if id(node) not in docstrings:
                words.update(WORD.findall(content))
        for _, value in ast.iter_fields(node):
            names = value if isinstance(value, list) else [value]
            if not isinstance(node, ast.Constant):
                for name in names:
                    if isinstance(name, str):
                        words.update(WORD.findall(name))
    return words


@cache
def read_code_words() -> frozenset[str]:
    """Return every name of the code, of its files and of Python itself."""
    words = {*dir(builtins), *keyword.kwlist, *SKIPPED_FOLDERS}
    for path in list_files():
        words.update(WORD.findall(str(path.relative_to(ROOT))))
        if path.suffix not in CODE_SUFFIXES or path.is_relative_to(ROOT / "docs"):
            continue
        text = path.read_text(errors="replace")
        if path.suffix == ".py":
            words |= read_python_words(text)
        else:
            words.update(WORD.findall(COMMENT.sub("", text)))
    return frozenset(words)


def exists(word: str) -> bool:
    """Return whether the code has a word of a page, as written or as a library does.

    The metrics library appends `_total` to counters. The command-line library writes
    placeholders of options in capitals and adds `no_` to turn an option off.
    """
    names = read_code_words() | OUTSIDE_NAMES.keys()
    return (
        word.isdigit()
        or word in names
        or word.removesuffix("_total") in names
        or word.removeprefix("no_") in names
        or (word.isupper() and word.lower() in names)
    )


def find_missing_parts(span: str) -> list[str]:
    """Return the modules and the identifiers of tests that do not exist."""
    missing = []
    for package, module in MODULE.findall(span):
        folders = [ROOT / folder / package for folder in SOURCE_FOLDERS]
        paths = [
            folder / name for folder in folders for name in (module, f"{module}.py")
        ]
        if any(folder.is_dir() for folder in folders) and not any(
            path.exists() for path in paths
        ):
            missing.append(f"{package}.{module}")
    for path, class_name, test_name in TEST_IDENTIFIER.findall(span):
        if path == "path":
            continue
        # Pages shorten a path to its last parts.
        files = [file for file in list_files() if str(file).endswith(f"/{path}")]
        words = {word for file in files for word in read_python_words(file.read_text())}
        missing += [
            name for name in (class_name, test_name) if name and name not in words
        ]
    return missing


def find_unknown_names(text: str) -> list[str]:
    """Return `line: name` for each name in backticks that the code does not have."""
    text = FENCED_BLOCK.sub(lambda block: "\n" * block[0].count("\n"), text)
    unknown = []
    for span in BACKTICKS.finditer(text):
        line = text.count("\n", 0, span.start()) + 1
        # The command-line library writes the parameter `ca_file` as `--ca-file`.
        flags = re.sub(
            r"(?<=--)[a-z-]+", lambda flag: flag[0].replace("-", "_"), span[1]
        )
        names = [word for word in WORD.findall(flags) if not exists(word)]
        unknown += [f"{line}: {name}" for name in names + find_missing_parts(span[1])]
    return unknown


class TestNamesInBackticks:
    def test_each_name_exists_in_the_code(self):
        """Guard against renames and removals that the pages do not follow."""
        pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
        unknown = {
            str(page.relative_to(ROOT)): found
            for page in pages
            if (found := find_unknown_names(page.read_text()))
        }
        assert unknown == {}

    def test_removed_name_is_reported_with_its_line(self):
        """Guard against a check that accepts any name or skips text after a block."""
        removed = "Removed" + "Tracker"
        text = f"`WORD` and\n```\n`{removed}`\n```\n`{removed}.add` or `--{removed}`"
        assert find_unknown_names(text) == [f"5: {removed}", f"5: {removed}"]

    def test_module_and_test_must_exist_where_the_page_says(self):
        """Guard against words that exist elsewhere and hide a wrong path."""
        text = (
            "`python -m dandelionpond_standins.errors`, `dandelionpond.errors`, "
            "`packages/standins/tests/test_stack.py::TestSecrets::test_mesh`"
        )
        assert find_unknown_names(text) == [
            "1: dandelionpond_standins.errors",
            "1: test_mesh",
        ]

    def test_names_from_outside_are_still_needed(self):
        """Guard against an exception that no page needs any more."""
        pages = "".join(page.read_text() for page in (ROOT / "docs").rglob("*.md"))
        spans = " ".join(span[1] for span in BACKTICKS.finditer(pages))
        assert OUTSIDE_NAMES.keys() - set(WORD.findall(spans)) == set()
