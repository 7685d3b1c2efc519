"""Orders to engines, with fencing tokens, to load models or change role."""
