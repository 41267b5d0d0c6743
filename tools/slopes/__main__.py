"""Measures every slope and prints them as one JSON object."""

import msgspec
import typer

from slopes.control import measure_control
from slopes.keys import measure_keys
from slopes.upstreams import measure_upstreams


def main() -> None:
    """Measure every slope."""
    lines = [*measure_control(), *measure_keys(), *measure_upstreams()]
    for line in lines:
        typer.echo(
            f'{line.quantity}: {line.fixed:.4g} (±{line.fixed_error:.2g}) + '
            f'{line.slope:.4g} (±{line.slope_error:.2g}) {line.unit} for each '
            f'of {line.against}',
            err=True,
        )
    typer.echo(msgspec.json.encode(lines).decode())


if __name__ == '__main__':
    main()
