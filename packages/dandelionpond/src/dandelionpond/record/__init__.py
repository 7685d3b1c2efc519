"""Recording and replay of decisions."""
