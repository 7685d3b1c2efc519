"""Find parts of prompts that crash engines, and refuse prompts that contain them."""
