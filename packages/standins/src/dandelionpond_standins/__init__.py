"""Stand-ins for outside systems, load generators and measurement programs."""
