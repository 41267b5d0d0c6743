"""Starts processes, waits until they accept connections, and stops them."""

import subprocess
import sys
from functools import partial
from pathlib import Path

import attrs
import trio

READY_TIMEOUT_SECONDS = 20
CONNECT_RETRY_SECONDS = 0.02
LOG_TAIL_BYTES = 2000


class LaunchFailed(Exception):
    """Base class of the errors that end a launcher before its report."""


class ProcessEnded(LaunchFailed):
    """Raised when a process exits while it is still needed."""


class NotReady(LaunchFailed):
    """Raised when a process does not accept connections in time."""


class CommandFailed(LaunchFailed):
    """Raised when a command exits with a code other than 0."""


@attrs.frozen(kw_only=True)
class Program:
    """A Python module to run as a process.

    Attributes:
        name: Name for error messages and for the log file.
        module: The Python module to run.
        arguments: Command-line arguments.
        ports: The ports that accept connections once the process is ready.
    """

    name: str
    module: str
    arguments: tuple[str, ...]
    ports: tuple[int, ...]


async def start_program(
    nursery: trio.Nursery,
    program: Program,
    directory: Path,
) -> None:
    """Start a program and wait until all its ports accept connections.

    Cancelling the nursery stops the process with SIGTERM.

    Args:
        nursery: Runs the task that supervises the process.
        program: The program to start.
        directory: Directory for the log file.

    Raises:
        NotReady: A port does not accept connections in time.
    """
    nursery.start_soon(_run_program, program, directory)
    with trio.move_on_after(READY_TIMEOUT_SECONDS):
        for port in program.ports:
            await _wait_for_port(port)
        return
    raise NotReady(program.name)


async def run_command(module: str, *arguments: str) -> str:
    """Run a command until it exits and return its standard output.

    Args:
        module: The Python module to run.
        arguments: Command-line arguments.

    Raises:
        CommandFailed: The command exited with a code other than 0.
    """
    completed = await trio.run_process(
        _make_command_line(module, arguments),
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )
    if completed.returncode:
        output = completed.stderr.decode() or completed.stdout.decode()
        command = ' '.join((module, *arguments))
        raise CommandFailed(f'{command}: exit {completed.returncode}: {output}')
    return completed.stdout.decode()


async def _run_program(program: Program, directory: Path) -> None:
    log = directory / f'{program.name}.log'
    with log.open('wb') as output:
        completed = await trio.run_process(
            _make_command_line(program.module, program.arguments),
            stdout=output,
            stderr=subprocess.STDOUT,
            check=False,
        )
    tail = log.read_bytes()[-LOG_TAIL_BYTES:].decode(errors='replace')
    raise ProcessEnded(f'{program.name}: exit {completed.returncode}: {tail}')


def _make_command_line(module: str, arguments: tuple[str, ...]) -> list[str]:
    return [sys.executable, '-m', module, *arguments]


async def _wait_for_port(port: int) -> None:
    connect = partial(trio.open_tcp_stream, '127.0.0.1', port)
    while True:
        try:
            stream = await connect()
        except OSError:
            await trio.sleep(CONNECT_RETRY_SECONDS)
            continue
        await stream.aclose()
        return
