"""Emulated clients of one balancer: honest ones, and such that leave, stop in the middle or are
slow.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from contextlib import suppress
from dataclasses import dataclass

from loadbalancer.proxy.tcp_state import receive_state
from loadbalancer.testbed.soak.history import Asked, End, History, Kind
from loadbalancer.testbed.soak.long_answers import AnswerForm
from loadbalancer.testbed.soak.long_requests import RequestForm
from loadbalancer.testbed.soak.plan import Plan

SECOND, MS = 1_000_000_000, 1_000_000
KEPT_MOST = 6  # connections that rest for the next request
REUSE_SHARE = 0.7
LONG_ANSWER_PATIENCE_S = 6.0  # more than the slowest long answer takes
PATIENCE_S = 1.0  # over a request's time, before it is called unanswered
SHORTEST_MS, LONGEST_MS = 60, 2_500
SHORTEST_LONG_MS = 300  # deadline of a request with a long message
LONGEST_WRITE_S = 12.0  # a client that has not written a long request by then leaves
# Of the requests with a long message: those whose answer stops, those with a long body, and of
# these those whose answer is long too.
STOPPING_SHARE, LONG_REQUEST_SHARE, BOTH_SHARE = 0.15, 0.5, 0.3
SLOW_WRITE_S = 0.01, 0.4
CROWDED_WRITE_S = 0.01, 2.0  # in a crowd some take longer
UNEVEN = 0.5, 0.5, 0.75, 0.75, 2.5  # of the mean rate; their mean is 1
LOOK_BACK = 500  # attempts of all balancers: more than come while a request is open


@dataclass(slots=True)
class Link:
    """A client's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: bool = False

    @property
    def has_ended(self) -> bool:
        """Whether the other side has ended it, also where that lies unread here."""
        transport = self.writer.transport
        if transport.is_closing() or self.reader.at_eof():
            return True
        return receive_state(transport.get_extra_info("socket")).peer_closed

    def close(self, reset: bool = False) -> None:
        """End it, in order or not."""
        if reset:
            self.writer.transport.abort()
        else:
            self.writer.close()


class Clients:
    """Those of one balancer.

    Attributes:
        kept: Connections that rest for the next request.
        open: New connections come here; else only those that are open are used.
    """

    def __init__(
        self, history: History, balancer: int, port: int, plan: Plan, rng: random.Random
    ) -> None:
        self.history = history
        self.balancer = balancer
        self.port = port
        self.rate = plan.client_rate
        if plan.cold_returns:  # some balancers get several times the mean
            self.rate *= rng.choice(UNEVEN)
        self.in_crowd = bool(plan.crowd)
        self.long_answers = plan.long_answers
        self.long_messages = plan.long_messages
        self.rng = rng
        self.kept: list[Link] = []
        self.count = 0
        self.open = False
        self.tasks: set[asyncio.Task[None]] = set()

    def stop_connecting(self) -> None:
        """Use only the connections that are open."""
        self.open = False

    def _has_way(self) -> bool:
        """Whether a request can be sent: on a new connection, or one that rests."""
        self.kept = [link for link in self.kept if not link.reader.at_eof()]
        return self.open or bool(self.kept)

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            if self._has_way():
                task = asyncio.create_task(self._one())
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def _one(self) -> None:
        rng = self.rng
        self.count += 1
        kind = rng.choices(list(Kind), [6, 3, 2])[0]
        wait_ms = int(rng.uniform(SHORTEST_MS, LONGEST_MS))
        body = b"x" * rng.choice((0, 20, 300)) if kind is not Kind.READ else b""
        if body and rng.random() < 0.05:
            body *= 400  # in pieces
        asked = Asked(f"{self.balancer}-{self.count}", kind, self.balancer, wait_ms, body)
        if self.long_answers and rng.random() < self.long_answers:
            asked.query = AnswerForm.draw(rng).query
        if self.long_messages and rng.random() < self.long_messages:
            self._draw_long_messages(asked)
        how = rng.random()
        if how < 0.03:
            await self._half(asked)
            return
        self.history.asked.append(asked)
        leaves_s = rng.uniform(0.0, wait_ms / 1000) if how < 0.15 else None
        await self._ask(asked, leaves_s, slow=0.15 <= how < 0.2)

    def _draw_long_messages(self, asked: Asked) -> None:
        """Give a request a long answer, an answer that stops, a long body, or both of the long."""
        rng = self.rng
        asked.wait_ms = int(rng.uniform(SHORTEST_LONG_MS, LONGEST_MS))
        is_request = asked.kind is not Kind.READ and rng.random() < LONG_REQUEST_SHARE
        if is_request:
            asked.body = b""
            asked.form = RequestForm.draw(rng)
        if rng.random() < STOPPING_SHARE:
            asked.query = AnswerForm.draw_stopping(rng).query
        elif not is_request or rng.random() < BOTH_SHARE:
            asked.query = AnswerForm.draw_lumps(rng).query

    async def _half(self, asked: Asked) -> None:
        """Stops in the middle of a request, and stays."""
        link = await self._new()
        if link is not None:
            data = self._message(asked)
            link.writer.write(data[: self.rng.randrange(1, len(data))])
            await asyncio.sleep(self.rng.uniform(0.1, 4.0))
            link.close()

    async def _ask(
        self, asked: Asked, leaves_s: float | None, slow: bool, fresh: bool = False
    ) -> None:
        link = await self._link(fresh)
        if link is None:
            return
        asked.reused = link.used
        if asked.form is not None:
            await self._ask_at_length(asked, asked.form, link)
            return
        if not await self._written(asked, link, slow):
            asked.end = End.NOT_TAKEN
            link.close()
            return
        asked.sent_ns = time.monotonic_ns()
        limit_s = asked.wait_ms / 1000 + PATIENCE_S if leaves_s is None else leaves_s
        if asked.query and leaves_s is None:
            limit_s += LONG_ANSWER_PATIENCE_S + asked.answer_form.longest_s
        try:
            async with asyncio.timeout(limit_s):
                keep = await self._answer(asked, link)
        except TimeoutError:
            asked.end = End.UNANSWERED if leaves_s is None else End.LEFT
            keep = False
        asked.ended_ns = time.monotonic_ns()
        if keep and not self.in_crowd and len(self.kept) < KEPT_MOST:
            self.kept.append(link)
        else:
            link.close(reset=asked.end is End.LEFT and self.rng.random() < 0.4)
        if asked.end is End.CLOSED and asked.reused and not self._was_sent_on(asked):
            # It crossed the end of a resting connection: sent once more on a new one, under the
            # same id.
            asked.end = End.NOT_TAKEN
            again = Asked(asked.id, asked.kind, asked.balancer, asked.wait_ms, asked.body)
            self.history.asked.append(again)
            await self._ask(again, None, slow=False, fresh=True)

    async def _ask_at_length(self, asked: Asked, form: RequestForm, link: Link) -> None:
        """Send a request with a long body, and read its answer, which may come before its end."""
        writing = asyncio.create_task(self._write_at_length(asked, form, link))
        answering = asyncio.create_task(self._answer(asked, link))
        await asyncio.wait(
            (writing, answering), timeout=LONGEST_WRITE_S, return_when=asyncio.FIRST_COMPLETED
        )
        if asked.sent_ns and not answering.done():
            limit_s = asked.wait_ms / 1000 + PATIENCE_S + LONG_ANSWER_PATIENCE_S
            limit_s += asked.answer_form.longest_s
            await asyncio.wait((answering,), timeout=limit_s)
        if not answering.done():
            asked.end = End.UNANSWERED if asked.sent_ns else End.LEFT
        elif not asked.sent_ns and asked.end is End.CLOSED:
            asked.end = End.NOT_TAKEN
        asked.ended_ns = time.monotonic_ns()
        for task in (writing, answering):
            task.cancel()
        await asyncio.gather(writing, answering, return_exceptions=True)
        link.close()

    async def _write_at_length(self, asked: Asked, form: RequestForm, link: Link) -> None:
        """Write a request; it counts as sent when its last write has returned."""
        link.used = True
        if form.send_buffer:
            sock = link.writer.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, form.send_buffer)
        # With limits of 0, `drain` returns once the kernel has taken everything.
        link.writer.transport.set_write_buffer_limits(high=0)
        link.writer.write(self._message(asked))
        with suppress(OSError):
            for pause_s, piece in form.pieces(self.rng):
                await asyncio.sleep(pause_s)
                link.writer.write(piece)
                await link.writer.drain()
            asked.sent_ns = time.monotonic_ns()

    async def _link(self, fresh: bool) -> Link | None:
        """Return a connection; None where there is none."""
        has_kept = self._has_way() and bool(self.kept) and not self.in_crowd
        if has_kept and not fresh and (not self.open or self.rng.random() < REUSE_SHARE):
            return self.kept.pop()
        return await self._new()

    def _was_sent_on(self, asked: Asked) -> bool:
        return any(attempt.id == asked.id for attempt in self.history.attempts[-LOOK_BACK:])

    async def _new(self) -> Link | None:
        try:
            async with asyncio.timeout(2.0):
                return Link(*await asyncio.open_connection("127.0.0.1", self.port))
        except (OSError, TimeoutError):
            return None

    async def _written(self, asked: Asked, link: Link, slow: bool) -> bool:
        data = self._message(asked)
        link.used = True
        try:
            if slow:
                cut = self.rng.randrange(1, len(data))
                link.writer.write(data[:cut])
                await asyncio.sleep(
                    self.rng.uniform(*(CROWDED_WRITE_S if self.in_crowd else SLOW_WRITE_S))
                )
                data = data[cut:]
                if link.has_ended:
                    return False  # before the request was whole
            link.writer.write(data)
            async with asyncio.timeout(3.0):
                await link.writer.drain()
        except (OSError, TimeoutError):
            return False
        return not link.writer.transport.is_closing()

    def _message(self, asked: Asked) -> bytes:
        method = "GET" if asked.kind is Kind.READ else "POST"
        query = asked.query if asked.form is None else f"{asked.query}&{asked.form.query}"
        rows = [
            f"{method} /{asked.kind.value}?obj=key{self.rng.randrange(40)}&{query} HTTP/1.1",
            "Host: soak",
            f"X-Request-Id: {asked.id}",
            f"X-Class: {asked.kind.value}",
            "X-Tenant: ash",
            f"X-Deadline-Ms: {asked.wait_ms}",
        ]
        if asked.form is not None:
            rows.append(asked.form.header)
        elif asked.kind is not Kind.READ:
            rows.append(f"Content-Length: {len(asked.body)}")
        return "\r\n".join([*rows, "", ""]).encode() + asked.body

    async def _answer(self, asked: Asked, link: Link) -> bool:
        """Read it; may the connection be used again?"""
        try:
            head = await link.reader.readuntil(b"\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError) as error:
            partial = getattr(error, "partial", b"")
            asked.end = End.FAILED if partial else End.CLOSED
            return False
        asked.first_ns = time.monotonic_ns()
        lines = head.decode("latin-1").lower().split("\r\n")
        asked.status = int(lines[0].split()[1])
        try:
            body, whole = await self._body(lines, link)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            asked.end = End.FAILED
            return False
        if asked.status == 200:
            asked.end = End.SERVED
            asked.proper = body.startswith(f"{asked.id} by ".encode())
        else:
            asked.end = End.REFUSED if asked.status in (429, 503) else End.FAILED
        return whole and "connection: close" not in lines

    async def _body(self, lines: list[str], link: Link) -> tuple[bytes, bool]:
        for line in lines:
            if line.startswith("content-length:"):
                return await link.reader.readexactly(int(line.partition(":")[2])), True
            if line.startswith("transfer-encoding:"):
                body = b""
                while size := int(await link.reader.readline(), 16):
                    body += (await link.reader.readexactly(size + 2))[:-2]
                await link.reader.readline()
                return body, True
        return await link.reader.read(), False
