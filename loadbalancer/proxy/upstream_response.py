"""Interpretation of upstream responses: result of the attempt, and load report."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from http import HTTPStatus
from typing import NamedTuple

from loadbalancer.policy import api
from loadbalancer.proxy.messages import Response

LOAD_HEADER = b"x-load"
NOT_RUN_HEADER = b"x-not-run"
# Together with NOT_RUN_HEADER, these statuses guarantee that the request was not run.
NOT_RUN_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)
LoadReport = Mapping[str, float] | None


class AttemptOutcome(NamedTuple):
    """Outcome of an attempt, as reported by `Upstreams`."""

    result: api.AttemptResult
    response: Response | None = None
    report: LoadReport = None


def attempt_result(result: api.AttemptResult, response: Response | None) -> api.AttemptResult:
    """Return the result of an attempt from the result of its exchange and the response."""
    if result is not api.AttemptResult.OK or response is None:
        return result
    if response.status == HTTPStatus.OK:
        return api.AttemptResult.OK
    if response.status in NOT_RUN_STATUSES and response.header(NOT_RUN_HEADER) == b"1":
        return api.AttemptResult.REJECTED
    return api.AttemptResult.ERROR


def health_check_result(result: api.AttemptResult, response: Response) -> api.AttemptResult:
    """Return the result of a health check; a 503 response means that it was rejected."""
    if result is api.AttemptResult.OK and response.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return api.AttemptResult.REJECTED
    return attempt_result(result, response)


def read_load_report(text: bytes | None, columns: Collection[str]) -> LoadReport:
    """Read a load report such as `inflight=7,queue=2`.

    Columns that the settings don't name are ignored, and so are negative and non-finite values:
    every comparison with NaN is false, so NaN must not reach the policy.

    Returns:
        The values by column; None if there are none.
    """
    if text is None:
        return None
    report = {}
    for field in text.decode("latin-1").split(","):
        name, _, value = field.strip().partition("=")
        try:
            figure = float(value)
        except ValueError:
            continue
        if name in columns and math.isfinite(figure) and figure >= 0:
            report[name] = figure
    return report or None
