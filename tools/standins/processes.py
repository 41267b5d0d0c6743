"""Starts processes, waits until they serve, and stops them all at the end."""

import subprocess
import sys
from functools import partial
from pathlib import Path

import attrs
import trio

READY_SECONDS = 20
RETRY_SECONDS = 0.02
TAIL_BYTES = 2000


class LaunchFailed(Exception):
    """The base of what ends a launcher before its report."""


class ProcessEnded(LaunchFailed):
    """Raised when a process ends that should still run."""


class NotReady(LaunchFailed):
    """Raised when a process does not serve in time."""


class CommandFailed(LaunchFailed):
    """Raised when a command ends with another exit code than 0."""


@attrs.frozen(kw_only=True)
class Program:
    """One program to run as a process.

    Attributes:
        name: Names it in messages and its log file.
        module: The Python module that it runs.
        arguments: Its arguments.
        ports: The ports that it serves once it is ready.
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
    """Start a program and wait until it serves.

    It is stopped by SIGTERM when the nursery is cancelled.

    Args:
        nursery: Holds the process.
        program: What to run.
        directory: Where its log file goes.

    Raises:
        NotReady: It does not serve in time.
    """
    nursery.start_soon(_run_program, program, directory)
    with trio.move_on_after(READY_SECONDS):
        for port in program.ports:
            await _wait_for_port(port)
        return
    raise NotReady(program.name)


async def run_command(module: str, *arguments: str) -> str:
    """Run a command to its end and give what it printed.

    Args:
        module: The Python module to run.
        arguments: Its arguments.

    Raises:
        CommandFailed: It ended with another exit code than 0.
    """
    done = await trio.run_process(
        _spell(module, arguments),
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )
    if done.returncode:
        said = done.stderr.decode() or done.stdout.decode()
        command = ' '.join((module, *arguments))
        raise CommandFailed(f'{command}: exit {done.returncode}: {said}')
    return done.stdout.decode()


async def _run_program(program: Program, directory: Path) -> None:
    log = directory / f'{program.name}.log'
    with log.open('wb') as output:
        done = await trio.run_process(
            _spell(program.module, program.arguments),
            stdout=output,
            stderr=subprocess.STDOUT,
            check=False,
        )
    tail = log.read_bytes()[-TAIL_BYTES:].decode(errors='replace')
    raise ProcessEnded(f'{program.name}: exit {done.returncode}: {tail}')


def _spell(module: str, arguments: tuple[str, ...]) -> list[str]:
    return [sys.executable, '-m', module, *arguments]


async def _wait_for_port(port: int) -> None:
    connect = partial(trio.open_tcp_stream, '127.0.0.1', port)
    while True:
        try:
            stream = await connect()
        except OSError:
            await trio.sleep(RETRY_SECONDS)
            continue
        await stream.aclose()
        return
