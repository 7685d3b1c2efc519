"""Exchange datagrams between nodes: who lives, who has what outstanding."""
