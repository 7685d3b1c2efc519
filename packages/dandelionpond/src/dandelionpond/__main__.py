"""Run the node's command line by `python -m dandelionpond`."""

from dandelionpond.main import main

main()
