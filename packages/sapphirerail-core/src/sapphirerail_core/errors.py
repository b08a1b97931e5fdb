"""Exceptions with stable error codes, derived from one base class."""

__all__ = ["InputError", "SapphirerailError"]


class SapphirerailError(Exception):
    """Base class of all errors that the project raises deliberately.

    Parameters
    ----------
    code : str
        Stable identifier, such as ``"sheet.unknown_data_centre"``.
    message : str
        Description of the error and how to fix it.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message


class InputError(SapphirerailError):
    """Invalid input from outside the process."""
