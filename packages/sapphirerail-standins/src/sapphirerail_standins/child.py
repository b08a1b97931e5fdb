"""One child process: its ready line, its output, its end."""

import asyncio
import os
import signal
from collections import deque
from collections.abc import Mapping, Sequence

import msgspec

__all__ = ["Child", "ChildError"]

START_TIMEOUT_MS = 30_000
STOP_TIMEOUT_MS = 15_000
N_LINES_KEPT = 200


class ChildError(Exception):
    """A child process did not start, or did not end as it should."""


class Child:
    """A process that the harness started and that it alone ends.

    Parameters
    ----------
    name : str
        What messages call it.
    process : asyncio.subprocess.Process
        The running process.
    """

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.ready: dict[str, str] = {}
        self._process = process
        self._lines: deque[str] = deque(maxlen=N_LINES_KEPT)
        self._readers: list[asyncio.Task[None]] = []

    @classmethod
    async def start(
        cls,
        name: str,
        command: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> "Child":
        """Start a process and wait for its ready line."""
        process = await asyncio.create_subprocess_exec(
            *command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | dict(environment or {}),
        )
        child = cls(name, process)
        try:
            await child._wait_ready()
        except BaseException:
            await child.kill()
            raise
        return child

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.returncode is None

    def output(self) -> str:
        """Return the last lines that the process wrote."""
        return "\n".join(self._lines)

    async def stop(self, timeout_ms: int = STOP_TIMEOUT_MS) -> int:
        """Ask the process to end and return its exit code.

        Raises
        ------
        ChildError
            If it did not end in time; it is killed then.
        """
        self._signal(signal.SIGCONT)
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._ended()
        except TimeoutError as error:
            await self.kill()
            text = f"{self.name} did not end within {timeout_ms} ms"
            raise ChildError(f"{text}\n{self.output()}") from error

    async def kill(self) -> None:
        """End the process at once."""
        self._signal(signal.SIGKILL)
        await self._ended()

    def pause(self) -> None:
        """Freeze the process."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self._signal(signal.SIGCONT)

    async def _wait_ready(self) -> None:
        assert self._process.stdout is not None
        assert self._process.stderr is not None
        errors = asyncio.create_task(self._keep_lines(self._process.stderr))
        self._readers.append(errors)
        try:
            async with asyncio.timeout(START_TIMEOUT_MS / 1000):
                line = await self._process.stdout.readline()
            self.ready = msgspec.json.decode(line, type=dict[str, str])
        except (TimeoutError, msgspec.MsgspecError) as error:
            await self.kill()
            text = f"{self.name} did not become ready"
            raise ChildError(f"{text}\n{self.output()}") from error
        output = asyncio.create_task(self._keep_lines(self._process.stdout))
        self._readers.append(output)

    async def _ended(self) -> int:
        code = await self._process.wait()
        await asyncio.gather(*self._readers)
        return code

    async def _keep_lines(self, reader: asyncio.StreamReader) -> None:
        while line := await reader.readline():
            self._lines.append(line.decode(errors="replace").rstrip())

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            self._process.send_signal(number)
