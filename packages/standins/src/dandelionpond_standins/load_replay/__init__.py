"""Replay of recorded arrivals from days of high load through prompt placement."""
