"""Define the exit codes of `dandelionpondctl`."""

OK, FINDINGS, USAGE = 0, 1, 2

EXIT_CODES = {
    OK: "all is well",
    FINDINGS: "there are findings, or the command failed in part or as a whole",
    USAGE: "wrong usage, or a file or folder that cannot be read",
}
