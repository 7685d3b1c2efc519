"""Runners that perform the actions of the state machines and report events to them."""
