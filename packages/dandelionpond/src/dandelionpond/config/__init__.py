"""Merge, validate and distribute the published settings."""
