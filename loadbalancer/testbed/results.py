"""Results of runs: JSON files that hold the schedule, the seed, the versions and the histograms.

Nothing in a virtual run's result depends on the machine or the hour, so the same seed gives the
same bytes.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
import os
import platform
import tempfile
from collections.abc import Sequence
from importlib import metadata, resources
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from loadbalancer.settings import Json
from loadbalancer.testbed import topology as topo
from loadbalancer.testbed.topology import Topology, Unusable
from loadbalancer.testbed.virtual import Outcome

FORMAT = 1
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


def versions(policy: str = "here") -> Json:
    modules = sorted(
        (m for m in resources.files("loadbalancer.policy").iterdir() if m.name.endswith(".py")),
        key=lambda m: m.name,
    )
    text = b"".join(m.read_bytes() for m in modules)
    return {
        "lanelift": metadata.version("loadbalancer"),
        "module": hashlib.sha256(text).hexdigest()[:16],
        "policy": policy,
        "python": platform.python_version(),
    }


def percentiles(histogram: HdrHistogram) -> Json:
    """Milliseconds by percentile; empty where nothing was recorded."""
    if not histogram.get_total_count():
        return {}
    return {f"p{p:g}": round(histogram.get_value_at_percentile(p) / 1000, 3) for p in PERCENTILES}


def result(t: Topology, seed: int, outcome: Outcome, policy: str, drive: str = "virtual") -> Json:
    judged = outcome.judgement
    ledger = outcome.ledger
    counts = judged.counts
    return {
        "format": FORMAT,
        "drive": drive,
        "seed": seed,
        "versions": versions(policy),
        "topology": topo.source(t),
        "faults": [topo.source(f) for f in outcome.faults],
        "steps": [dict(step._asdict()) for step in outcome.steps],
        "rate_per_s": round(outcome.rate, 3),
        "capacity": round(outcome.capacity, 4),
        "score": rounded(judged.score),
        "service": rounded(judged.service),
        "penalty": rounded(judged.penalty),
        "whole": rounded(judged.whole),
        "worst_window": rounded(judged.worst_window),
        "by_class": {k: rounded(v) for k, v in judged.by_class.items()},
        "by_tenant": {k: rounded(v) for k, v in judged.by_tenant.items()},
        "broken": dict(sorted(judged.broken.items())),
        "breaches": [
            {"rule": b.rule.value, "at_ns": b.at_ns, "what": b.what} for b in judged.breaches
        ],
        "counts": {k: int(v) for k, v in counts.items()},
        "attempts_per_first_try": rounded(outcome.per_first_try("attempts")),
        "tries_per_first_try": rounded(outcome.per_first_try("tries")),
        "load_spread": rounded(outcome.load_spread),
        "latency_ms": percentiles(ledger.latency),
        "latency_by_class_ms": {k: percentiles(h) for k, h in sorted(ledger.latency_of.items())},
        "histogram": ledger.latency.encode().decode(),
        "histograms": {k: h.encode().decode() for k, h in sorted(ledger.latency_of.items())},
        "series": [dataclasses.asdict(m) for m in outcome.series],
        "boxes": outcome.boxes,
        "notes": outcome.notes,
    }


def rounded(value: float) -> float:
    return round(value, 6)


def spread(values: Sequence[float]) -> tuple[float, float, float]:
    """The middle one, the one that 1% are above, and the largest; zeros where there are none."""
    ordered = sorted(values) or [0.0]
    return ordered[len(ordered) // 2], ordered[int(0.99 * (len(ordered) - 1))], ordered[-1]


def encoded(found: Json) -> bytes:
    return json.dumps(found, sort_keys=True, indent=1).encode() + b"\n"


def write(path: Path, data: bytes) -> None:
    """All of it or nothing: an interrupted run leaves no half-written file. Raises Unusable."""
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        handle, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
        try:
            with os.fdopen(handle, "wb") as file:
                file.write(data)
            os.chmod(name, 0o644)
            os.replace(name, path)
        except BaseException:
            Path(name).unlink(missing_ok=True)
            raise
    except OSError as error:
        raise Unusable(f"{path}: {error.strerror}") from None


def read(path: Path) -> Json:
    """Raises Unusable with one line."""
    try:
        found: Any = json.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        raise Unusable(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    if not isinstance(found, dict) or found.get("format") != FORMAT:
        raise Unusable(f"{path}: no result of this lab, format {FORMAT}")
    return found
