"""The table of docs/CAPACITY.md, worked out from the users' size and the slopes that were recorded.

docs/capacity/figures.toml holds the size (`[size]`, numbers by name), what is derived from it
(`[derived]`, formulas by name, in their order) and the figures (`[[figure]]`: role, situation,
what, formula, unit, and where there is one a limit). What a balancer carries is counted in the
world of that size (`counted`). A formula is arithmetic over those names, `slope("NAME")` (per
unit), `base("NAME")` (the intercept) and `at("NAME", x)` (the line at x). Nothing is typed twice:
the page shows the formula that gave the figure, and says from where a slope is extrapolated.
"""

from __future__ import annotations

import ast
import math
import operator
import tomllib
from collections import Counter
from collections.abc import Callable, Mapping
from pathlib import Path

import msgspec

from loadbalancer.testbed.size import fit
from loadbalancer.testbed.size.fit import Slope
from loadbalancer.testbed.size.world import Service, Shape, draw
from loadbalancer.testbed.topology import Unusable

BEGIN, END = "<!-- figures -->", "<!-- /figures -->"
WORLD_SEED = 1

_OPERATORS: dict[type[ast.AST], Callable[..., float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
    ast.Pow: operator.pow,
    ast.USub: operator.neg,
}
_FUNCTIONS: dict[str, Callable[..., float]] = {
    "max": max,
    "min": min,
    "ceil": math.ceil,
    "sqrt": math.sqrt,
}


class Figure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One row of the page. `mechanism`: what carries it, or "missing"; `limit`: a formula too."""

    role: str
    situation: str
    what: str
    formula: str
    unit: str
    mechanism: str
    limit: str = ""
    ruled_out: bool = False  # of a way that is not taken: told, and not ranked


class Sheet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """docs/capacity/figures.toml."""

    size: dict[str, float]
    derived: dict[str, str]
    figure: list[Figure]
    plan: dict[str, float] = {}  # the users' size, which no file holds a second time
    world: dict[str, float] = {}  # what is counted in a world of that size


class Worked(msgspec.Struct, frozen=True):
    """A figure, its limit (none: NaN), and the slopes that were used beyond where they were
    measured.
    """

    figure: Figure
    value: float
    limit: float
    extrapolated: tuple[str, ...]

    @property
    def factor(self) -> float:
        """Times its limit; NaN where it has none."""
        return self.value / self.limit if self.limit else math.nan


class Workings:
    """Evaluates formulas. Raises Unusable in one line for a name, slope or form that it does not
    know.
    """

    def __init__(self, sheet: Sheet, slopes: Mapping[str, Slope]) -> None:
        self.slopes = slopes
        self.names: dict[str, float] = {**sheet.plan, **sheet.world, **sheet.size}
        self.beyond: set[str] = set()
        for name, formula in sheet.derived.items():
            if name in self.names:
                raise Unusable(f"{name} stands there twice")
            self.names[name] = self.value(formula)

    def value(self, formula: str) -> float:
        try:
            return float(self._of(ast.parse(formula, mode="eval").body, formula))
        except (SyntaxError, ZeroDivisionError, OverflowError, TypeError) as error:
            raise Unusable(f"{formula!r}: {error}") from None

    def _of(self, node: ast.expr, whole: str) -> float:
        match node:
            case ast.Constant(value=int() | float() as number):
                return float(number)
            case ast.Name(id=name) if name in self.names:
                return self.names[name]
            case ast.BinOp(left=left, op=op, right=right) if type(op) in _OPERATORS:
                return _OPERATORS[type(op)](self._of(left, whole), self._of(right, whole))
            case ast.UnaryOp(op=ast.USub(), operand=operand):
                return -self._of(operand, whole)
            case ast.Call(
                func=ast.Name(id="slope" | "base" | "at" as what),
                args=[ast.Constant(value=str() as name), *rest],
                keywords=[],
            ):
                return self._slope(what, name, [self._of(one, whole) for one in rest], whole)
            case ast.Call(func=ast.Name(id=name), args=arguments, keywords=[]) if (
                name in _FUNCTIONS
            ):
                return _FUNCTIONS[name](*(self._of(one, whole) for one in arguments))
        raise Unusable(f"{whole!r}: {ast.unparse(node)} is not known")

    def _slope(self, what: str, name: str, rest: list[float], whole: str) -> float:
        found = self.slopes.get(name)
        if found is None:
            raise Unusable(f"{whole!r}: no slope {name!r} is recorded")
        if len(rest) != (what == "at"):
            raise Unusable(f"{whole!r}: {what}({name!r}) takes {int(what == 'at')} more")
        if what == "slope":
            return found.slope
        if what == "base":
            return found.intercept
        value, extrapolated = found.at(rest[0])
        if extrapolated:
            self.beyond.add(
                f"{name} to {rest[0]:,.0f}, measured from {found.points[0][0]:g} to"
                f" {found.measured_to:g}"
            )
        return value


def counted(shape: Shape, seed: int) -> dict[str, float]:
    """What a balancer of that world carries, in the mean (`_mean`) and at the most (`_most`); on
    how many balancers a changed upstream, tenant or route is heard (`_heard_by`); upstreams of a
    zone.
    """
    world = draw(shape, seed)
    of: dict[str, Callable[[Service], int]] = {
        "services": lambda s: 1,
        "upstreams": lambda s: s.size,
        "tenants": lambda s: s.tenants,
        "routes": lambda s: s.routes,
    }
    found: dict[str, float] = {"connections": world.connections}
    for what, count in of.items():
        each = [sum(count(world.services[n]) for n in b.carries) for b in world.balancers]
        found[f"{what}_mean"], found[f"{what}_most"] = sum(each) / len(each), max(each)
        whole = sum(count(s) for s in world.services)
        found[f"{what}_heard_by"] = sum(count(s) * len(s.balancers) for s in world.services) / whole
    held = Counter(u.zone for u in world.upstreams)
    found["zone_upstreams"], found["zone_balancers"] = (
        max(held.values()),
        shape.balancers / shape.zones,
    )
    found["region_balancers"] = shape.balancers / shape.regions
    found["requests_most"] = max(b.load for b in world.balancers)
    return found


def users_size() -> dict[str, float]:
    """The users' plan, by name."""
    shape = Shape()
    return {
        name: getattr(shape, name)
        for name in (
            "balancers",
            "upstreams",
            "services",
            "routes",
            "tenants",
            "regions",
            "zones",
            "requests_s",
        )
    }


def read_sheet(path: Path) -> Sheet:
    """Raises Unusable."""
    try:
        sheet = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Sheet)
        return msgspec.structs.replace(sheet, plan=users_size(), world=counted(Shape(), WORLD_SEED))
    except (OSError, ValueError) as error:
        raise Unusable(f"{path.name}: {error}") from None


def work_out(sheet: Sheet, slopes: Mapping[str, Slope]) -> list[Worked]:
    """Raises Unusable."""
    workings = Workings(sheet, slopes)
    found = []
    for figure in sheet.figure:
        workings.beyond.clear()
        value = workings.value(figure.formula)
        beyond = tuple(sorted(workings.beyond))
        limit = workings.value(figure.limit) if figure.limit else math.nan
        found.append(Worked(figure, value, limit, beyond))
    return found


def _number(value: float) -> str:
    if math.isnan(value):
        return ""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def _cell(text: str) -> str:
    return text.replace("|", "\\|")


def lines(sheet: Sheet, slopes: Mapping[str, Slope]) -> list[str]:
    """The part of the page between its marks: sizes, figures role by role, the ranking by factor,
    slopes.
    """
    workings = Workings(sheet, slopes)
    worked = work_out(sheet, slopes)
    out = ["## The size", "", "| name | value | from |", "| --- | --- | --- |"]
    for told, names in (
        ("the users' plan", sheet.plan),
        (f"the world of seed {WORLD_SEED}", sheet.world),
        ("figures.toml", sheet.size),
    ):
        out += [f"| `{name}` | {_number(value)} | {told} |" for name, value in names.items()]
    out += [
        f"| `{name}` | {_number(workings.names[name])} | `{_cell(formula)}` |"
        for name, formula in sheet.derived.items()
    ]
    for role in dict.fromkeys(one.figure.role for one in worked):
        out += [
            "",
            f"## {role}",
            "",
            "| situation | what | figure | limit | of it | formula | carried by |",
            "| --- | --- | --- | --- | --- | --- | --- |",
        ]
        for one in worked:
            f = one.figure
            if f.role != role:
                continue
            limit = f"{_number(one.limit)} {f.unit}" if f.limit else ""
            beyond = f" (extrapolated: {', '.join(one.extrapolated)})" if one.extrapolated else ""
            out.append(
                f"| {f.situation} | {f.what} | {_number(one.value)} {f.unit}{beyond} | {limit} | "
                f"{_number(one.factor)} | `{_cell(f.formula)}` | {f.mechanism} |"
            )
    ranked = sorted(
        (one for one in worked if one.factor > 1 and not one.figure.ruled_out),
        key=lambda one: -one.factor,
    )
    out += [
        "",
        "## Over the limit, ranked",
        "",
        "| times | role | what | situation | carried by |",
        "| --- | --- | --- | --- | --- |",
    ]
    out += [
        f"| {_number(one.factor)} | {one.figure.role} | {one.figure.what} | "
        f"{one.figure.situation} | "
        f"{one.figure.mechanism} |"
        for one in ranked
    ]
    out += [
        "",
        "## Slopes",
        "",
        "| name | per unit | at nothing | residue | measured to | date | command |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    out += [
        f"| `{s.name}` | {s.slope:.4g} {s.unit} per {s.per} | {s.intercept:.4g} | "
        f"{s.residue:.1%} | "
        f"{s.measured_to:g} | {s.date} | `{_cell(s.command)}` |"
        for s in sorted(slopes.values(), key=lambda s: s.name)
    ]
    return out


def rewritten(page: str, sheet: Sheet, slopes: Mapping[str, Slope]) -> str:
    """The page with its table as the recorded slopes give it. Raises Unusable."""
    if page.count(BEGIN) != 1 or page.count(END) != 1:
        raise Unusable(f"the page needs one {BEGIN} and one {END}")
    head, rest = page.split(BEGIN)
    _, tail = rest.split(END)
    return head + BEGIN + "\n\n" + "\n".join(lines(sheet, slopes)) + "\n\n" + END + tail


def recompute(docs: Path, write: bool) -> bool:
    """Work the page out anew, and write it where asked; was it as recorded? Raises Unusable."""
    page = docs / "CAPACITY.md"
    try:
        old = page.read_text(encoding="utf-8")
    except OSError as error:
        raise Unusable(f"{page.name}: {error.strerror}") from None
    slopes = {slope.name: slope for slope in fit.read(docs / "capacity" / "slopes.json")}
    new = rewritten(old, read_sheet(docs / "capacity" / "figures.toml"), slopes)
    if write and new != old:
        page.write_text(new, encoding="utf-8")
    return new == old
