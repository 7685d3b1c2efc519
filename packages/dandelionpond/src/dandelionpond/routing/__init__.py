"""Choose an engine for each prompt."""
