"""Give engines fenced orders to load models or change role."""
