"""Cached prompt prefixes: what engines hold, and what a cached prefix is worth."""
