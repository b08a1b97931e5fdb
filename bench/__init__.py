"""The bench: one JSON object a line on standard output."""
