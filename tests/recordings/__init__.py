"""What the deterministic parts of the program did before a change that may not alter them."""
