"""Runs the examples of docs/library.md unchanged."""

from __future__ import annotations

import ast
import inspect
import re
from pathlib import Path

import pytest

from lib.fakes import MemoryTable

PAGE = Path(__file__).parents[2] / "docs" / "library.md"
EXAMPLES = re.findall(
    r"^## (.+?)\n.*?^```python\n(.*?)^```", PAGE.read_text(), re.DOTALL | re.MULTILINE
)
OUTPUTS = {
    "Safe writes with read-back": "1\n",
    "Peer calls and request matching": "5\n",
    "Fenced ownership and configuration": "1 False\n",
    "Admission limits": "[True, True, False]\n",
    "Retry budgets": "[True, True, True, True, True, False, False]\n",
}


def test_every_section_has_an_example() -> None:
    """Guards against an example that is not run.

    A section is added to the page without an expected output in this file.
    """
    assert [title for title, _ in EXAMPLES] == list(OUTPUTS)


@pytest.mark.parametrize(("title", "code"), EXAMPLES)
async def test_example(
    title: str, code: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against documentation that no longer matches the interface.

    The interface or an example is changed without the other.
    """
    flags = ast.PyCF_ALLOW_TOP_LEVEL_AWAIT
    # The page is part of this repository.
    compiled = compile(code, f"{PAGE.name}: {title}", "exec", flags=flags)
    result = eval(compiled, {"table": MemoryTable()})
    if inspect.isawaitable(result):
        await result
    assert capsys.readouterr().out.endswith(OUTPUTS[title])
