"""Merge, check and distribute the published settings."""
