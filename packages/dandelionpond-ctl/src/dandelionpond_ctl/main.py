"""Run the node from the command line."""


def main() -> None:
    """Start the command line."""
