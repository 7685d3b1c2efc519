"""Run the node's command line with `python -m dandelionpond`."""

from dandelionpond.main import main

main()
