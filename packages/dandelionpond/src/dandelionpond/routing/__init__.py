"""Routing of prompts to engines."""
