"""Record decisions and decide them again."""
