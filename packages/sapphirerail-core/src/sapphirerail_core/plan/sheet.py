"""Parses the operators' sheet: CSV to typed lines and refusals."""

import csv
import hashlib
import unicodedata

import msgspec

from ..errors import InputError
from .sheet_field import parse_line
from .sheet_line import (
    COLUMNS,
    LineError,
    Refusal,
    RefusalReason,
    Sheet,
    SheetLine,
)

__all__ = ["SHEET_MAX_BYTES", "parse_sheet"]

SHEET_MAX_BYTES = 64 * 1024 * 1024
END_KIND = "end"
END_MAX_DIGITS = 9


def parse_sheet(payload: bytes) -> Sheet:
    r"""Parse a sheet.

    Every physical line is parsed separately, so that an unclosed quote invalidates
    only its own line.

    Parameters
    ----------
    payload : bytes
        The file: UTF-8 with or without a byte-order mark, LF or CRLF.

    Returns
    -------
    Sheet
        Accepted lines and refusals.

    Raises
    ------
    InputError
        ``sheet.empty``, ``sheet.too_large``, ``sheet.not_utf8``,
        ``sheet.bad_header``, ``sheet.bad_end`` or ``sheet.cut``: the whole file is
        unusable.

    Examples
    --------
    >>> sheet = parse_sheet(b"kind,name,state\ndata_centre,Osu,out\n")
    >>> sheet.lines[0].name
    'Osu'
    """
    rows = _decode(payload).split("\n")
    columns = _parse_header(rows[0].removesuffix("\r"))
    parser = _SheetParser(columns)
    for number, row in enumerate(rows[1:-1], start=2):
        parser.parse_row(number, row.removesuffix("\r"))
    if rows[-1]:
        parser.refuse_truncated(len(rows), rows[-1])
    return Sheet(
        lines=parser.lines(),
        refusals=parser.refusals(),
        digest=hashlib.sha256(payload).hexdigest(),
        n_lines=parser.n_lines,
        has_line_count=parser.check_end(),
    )


def _decode(payload: bytes) -> str:
    if len(payload) > SHEET_MAX_BYTES:
        text = (
            f"the file has {len(payload)} bytes; at most {SHEET_MAX_BYTES} are allowed"
        )
        raise InputError("sheet.too_large", text)
    try:
        text = payload.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        raise InputError(
            "sheet.not_utf8", f"the file must be UTF-8: {error}"
        ) from error
    if not text.strip():
        raise InputError("sheet.empty", "the file is empty; export it again")
    return text


def _parse_header(row: str) -> list[str]:
    try:
        columns = [name.strip() for name in next(csv.reader([row], strict=True), [])]
    except csv.Error as error:
        raise InputError(
            "sheet.bad_header", f"cannot parse the header: {error}"
        ) from error
    unknown = sorted(set(columns) - set(COLUMNS))
    missing = [name for name in ("kind", "name") if name not in columns]
    if unknown or missing or len(set(columns)) != len(columns):
        raise InputError(
            "sheet.bad_header",
            f"the first line must name columns of {','.join(COLUMNS)}, each once, "
            f"with kind and name; unknown: {unknown}, missing: {missing}",
        )
    return columns


class _SheetParser:
    """Parses and collects the lines of one sheet."""

    def __init__(self, columns: list[str]) -> None:
        self.n_lines = 0
        self._n_stated: int | None = None
        self._columns = columns
        self._by_key: dict[tuple[type, str], list[SheetLine]] = {}
        self._refusals: list[Refusal] = []

    def parse_row(self, number: int, row: str) -> None:
        """Parse one line of the file."""
        if not row.strip():
            return
        if self._n_stated is not None:
            text = f"line {number} follows the end line; export the sheet again"
            raise InputError("sheet.bad_end", text)
        name = ""
        try:
            fields = self._fields(row)
            name = fields["name"]
            if fields["kind"] == END_KIND:
                self._n_stated = _n_stated(number, name)
                return
            line = parse_line(number, fields)
        except LineError as error:
            self._refusals.append(Refusal(number, name, error.code, error.reason))
            self.n_lines += 1
            return
        self.n_lines += 1
        self._by_key.setdefault((type(line), line.name), []).append(line)

    def refuse_truncated(self, number: int, row: str) -> None:
        """Refuse a last line without a line break, as the file may be truncated."""
        reason = "the file ends inside this line; end it with a line break"
        self._refusals.append(Refusal(number, row[:80], RefusalReason.CUT, reason))

    def check_end(self) -> bool:
        """Return whether the file states its number of lines.

        Raises
        ------
        InputError
            ``sheet.cut`` if the number is wrong.
        """
        if self._n_stated is None:
            return False
        if self._n_stated != self.n_lines:
            text = (
                f"the end line states {self._n_stated} lines, the file has "
                f"{self.n_lines}; export it again"
            )
            raise InputError("sheet.cut", text)
        return True

    def lines(self) -> tuple[SheetLine, ...]:
        """Return the accepted lines, including repeated equal ones."""
        found: list[SheetLine] = []
        for lines in self._by_key.values():
            if _all_equal(lines):
                found.extend(lines)
        return tuple(sorted(found, key=lambda line: line.number))

    def refusals(self) -> tuple[Refusal, ...]:
        """Return the refused lines, including contradictory ones."""
        found = list(self._refusals)
        for lines in self._by_key.values():
            if not _all_equal(lines):
                found.extend(_contradictions(lines))
        return tuple(sorted(found, key=lambda refusal: refusal.number))

    def _fields(self, row: str) -> dict[str, str]:
        try:
            cells = next(csv.reader([row], strict=True))
        except csv.Error as error:
            raise LineError(RefusalReason.MALFORMED, str(error)) from error
        if len(cells) != len(self._columns):
            raise LineError(
                RefusalReason.MALFORMED,
                f"{len(cells)} fields; the header has {len(self._columns)}",
            )
        texts = [unicodedata.normalize("NFC", cell.strip()) for cell in cells]
        return dict.fromkeys(COLUMNS, "") | dict(zip(self._columns, texts, strict=True))


def _n_stated(number: int, text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= END_MAX_DIGITS):
        reason = f"line {number}: the name of the end line must be the number of lines"
        raise InputError("sheet.bad_end", reason)
    return int(text)


def _all_equal(lines: list[SheetLine]) -> bool:
    first = lines[0]
    return all(
        msgspec.structs.replace(line, number=first.number) == first
        for line in lines[1:]
    )


def _contradictions(lines: list[SheetLine]) -> list[Refusal]:
    numbers = ", ".join(str(line.number) for line in lines)
    reason = f"lines {numbers} contradict each other; keep one of them"
    return [
        Refusal(line.number, line.name, RefusalReason.CONTRADICTION, reason)
        for line in lines
    ]
