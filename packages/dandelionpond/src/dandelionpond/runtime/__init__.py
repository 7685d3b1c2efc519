"""Drive the decisions of a node: carry out actions and report events."""
