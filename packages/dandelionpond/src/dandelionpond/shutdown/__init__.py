"""Step a node through a planned stop."""
