"""The simulator's protocol and the adapter that hosts the decisions on standard input and output."""
