"""The entry instance that steers packets by tag, apart from the platform's forms."""
