"""The sapphirerail cli package."""
