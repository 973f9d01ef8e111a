"""Parser of the test language, see ``scenario.lark``."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import lark

GRAMMAR_PATH = Path(__file__).with_name("scenario.lark")


@dataclass(slots=True, frozen=True)
class Option:
    """An optional part of a statement; a flag has no values."""

    name: str
    values: tuple[Any, ...]


@dataclass(slots=True, frozen=True)
class Step:
    """A statement: its name, its required values in order and its options."""

    name: str
    values: tuple[Any, ...]
    options: dict[str, Any]
    line: int


@dataclass(slots=True)
class Scenario:
    """A parsed file."""

    seed: int | None = None
    limit_seconds: float | None = None
    steps: list[Step] = field(default_factory=list)


# Parts that are options of a statement rather than values; those with one value are
# stored as that value, flags as true.
OPTIONS = frozenset(
    {
        "with_workers",
        "with_runners",
        "with_lag",
        "under",
        "rate",
        "working",
        "deadline",
        "as_name",
        "in_background",
        "at",
        "refused",
        "not_name",
        "limit",
    }
)


class ScenarioTransformer(lark.Transformer[lark.Token, Scenario]):
    """Turns the parse tree into a ``Scenario``."""

    def INT(self, token: lark.Token) -> int:  # noqa: N802
        return int(token)

    def NUMBER(self, token: lark.Token) -> float:  # noqa: N802
        return float(token)

    def STRING(self, token: lark.Token) -> str:  # noqa: N802
        return token[1:-1]

    def names(self, children: list[str]) -> tuple[str, ...]:
        return tuple(str(child) for child in children)

    def shape(self, children: list[Any]) -> dict[str, Any]:
        count, accelerators, adjacency = children
        return {
            "count": count,
            "accelerators": accelerators,
            "adjacency": str(adjacency),
        }

    def shapes(self, children: list[dict[str, Any]]) -> Option:
        return Option("shapes", (children,))

    def flag(self, children: list[lark.Token]) -> Option:
        return Option(str(children[0]), ())

    def setting(self, children: list[lark.Token]) -> tuple[str, str]:
        return str(children[0]), str(children[1])

    def instance_name(self, children: list[lark.Token]) -> tuple[str, str]:
        return "name", str(children[0])

    def instance_owner(self, children: list[lark.Token]) -> tuple[str, str]:
        return "owner", str(children[0])

    def start(self, children: list[Any]) -> Scenario:
        scenario = Scenario()
        for child in children:
            if child.name == "seed":
                scenario.seed = child.values[0]
            elif child.name == "time_limit":
                scenario.limit_seconds = child.values[0]
            else:
                scenario.steps.append(child)
        return scenario

    def __default__(
        self, data: lark.Token, children: list[Any], meta: lark.tree.Meta
    ) -> Any:
        if data in OPTIONS:
            return Option(str(data), tuple(plain(child) for child in children))
        options = {
            child.name: child.values[0] if child.values else True
            for child in children
            if isinstance(child, Option)
        }
        values = tuple(
            plain(child) for child in children if not isinstance(child, Option)
        )
        return Step(str(data), values, options, getattr(meta, "line", 0))


def plain(value: Any) -> Any:
    """Return a token as text, and anything else as it is.

    Tokens are a subclass of ``str`` that encoders of JSON refuse.
    """
    return str(value) if isinstance(value, lark.Token) else value


PARSER = lark.Lark(
    GRAMMAR_PATH.read_text(),
    parser="lalr",
    propagate_positions=True,
    maybe_placeholders=False,
)


def parse_scenario(text: str) -> Scenario:
    """Return the scenario; raise ``lark.UnexpectedInput`` if it is malformed."""
    return ScenarioTransformer().transform(PARSER.parse(text + "\n"))
