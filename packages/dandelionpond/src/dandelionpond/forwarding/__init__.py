"""Decide what follows each outcome of an attempt to forward a request."""
