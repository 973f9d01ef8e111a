"""``egretctl completion``: shell completion script."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script for SHELL.

    For bash, add to ~/.bashrc: eval "$(egretctl completion bash)"
    """
    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise click.UsageError(f"no completion for {shell}")
    root = context.find_root().command
    click.echo(completion_class(root, {}, "egretctl", "_EGRETCTL_COMPLETE").source())
