"""Stand in for outside systems, generate load and measure."""
