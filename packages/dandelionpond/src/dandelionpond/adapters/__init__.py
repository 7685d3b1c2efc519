"""Translate between decisions and the wire forms of outside systems."""
