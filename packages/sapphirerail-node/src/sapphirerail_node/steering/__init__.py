"""Entry instance that steers packets by tag, independent of the platform's formats."""
