"""Replay the arrivals of heavy days through the decisions of placement."""
