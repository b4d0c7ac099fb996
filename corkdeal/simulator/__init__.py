"""The simulator's protocol, and the adapter that runs the decisions over standard input and output."""
