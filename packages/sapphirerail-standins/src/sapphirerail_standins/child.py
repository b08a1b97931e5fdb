"""A child process: start, ready line, output and termination."""

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
    """A child process did not become ready, or did not exit in time."""


class Child:
    """A process that the harness starts and terminates.

    Parameters
    ----------
    name : str
        Name of the process in error messages.
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
        """Start a process and wait for its ready line, a JSON object on its output."""
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
        """Whether the process has not exited."""
        return self._process.returncode is None

    def output(self) -> str:
        """Return the last lines that the process wrote to its outputs."""
        return "\n".join(self._lines)

    async def stop(self, timeout_ms: int = STOP_TIMEOUT_MS) -> int:
        """Send SIGTERM, wait for the process and return its exit code.

        Raises
        ------
        ChildError
            If it does not exit in time; it is killed first.
        """
        self._signal(signal.SIGCONT)
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._wait_exit()
        except TimeoutError as error:
            await self.kill()
            text = f"{self.name} did not exit within {timeout_ms} ms of SIGTERM"
            raise ChildError(f"{text}\n{self.output()}") from error

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self._signal(signal.SIGKILL)
        await self._wait_exit()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._signal(signal.SIGCONT)

    async def _wait_ready(self) -> None:
        assert self._process.stdout is not None
        assert self._process.stderr is not None
        errors = asyncio.create_task(self._collect_lines(self._process.stderr))
        self._readers.append(errors)
        try:
            async with asyncio.timeout(START_TIMEOUT_MS / 1000):
                line = await self._process.stdout.readline()
            self.ready = msgspec.json.decode(line, type=dict[str, str])
        except (TimeoutError, msgspec.MsgspecError) as error:
            await self.kill()
            text = f"{self.name} did not become ready"
            raise ChildError(f"{text}\n{self.output()}") from error
        output = asyncio.create_task(self._collect_lines(self._process.stdout))
        self._readers.append(output)

    async def _wait_exit(self) -> int:
        code = await self._process.wait()
        await asyncio.gather(*self._readers)
        return code

    async def _collect_lines(self, reader: asyncio.StreamReader) -> None:
        while line := await reader.readline():
            self._lines.append(line.decode(errors="replace").rstrip())

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            self._process.send_signal(number)
