"""Exceptions with codes; every error of the project derives from one base."""

__all__ = ["InputError", "SapphirerailError"]


class SapphirerailError(Exception):
    """Base of all errors that the project raises on purpose.

    Parameters
    ----------
    code : str
        Stable identifier, such as ``"sheet.unknown_data_centre"``.
    message : str
        What happened and what the reader can do about it.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message


class InputError(SapphirerailError):
    """Input from outside that cannot be used as it is."""
