"""Check, compare and operate dandelionpond from the command line."""
