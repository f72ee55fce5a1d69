"""Upstreams and clients that cost as little as Python allows, so that what stands between them is
what is measured: plain sockets on one epoll, no event loop.
"""

from __future__ import annotations

import select
import socket
import sys
import time
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

BODY = 200
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY + b"x" * BODY
LONGEST_US = 60_000_000
STALLED_S = 5.0  # nothing came for so long: whoever is measured has stopped answering


def answer(count: int) -> None:
    """So many upstreams in this process, each a listener of its own; their ports go to standard
    output. It ends with its standard input.
    """
    poll = select.epoll()
    listeners: dict[int, socket.socket] = {}
    links: dict[int, socket.socket] = {}
    for _ in range(count):
        listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        listener.setblocking(False)
        listeners[listener.fileno()] = listener
        poll.register(listener, select.EPOLLIN)
    print(" ".join(str(s.getsockname()[1]) for s in listeners.values()), flush=True)
    poll.register(sys.stdin, select.EPOLLIN | select.EPOLLHUP)
    while True:
        for number, _ in poll.poll():
            link = links.get(number)
            if link is not None:
                try:
                    data = link.recv(65536)
                except OSError:
                    data = b""
                if data:
                    link.send(ANSWER)
                else:
                    poll.unregister(number)
                    links.pop(number).close()
            elif number in listeners:
                made, _ = listeners[number].accept()
                made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                links[made.fileno()] = made
                poll.register(made, select.EPOLLIN)
            elif not sys.stdin.buffer.read1(65536):  # type: ignore[union-attr]
                return


class Burst(NamedTuple):
    """What clients saw: answers, others than 200, and times from when each request was due."""

    answers: int
    wrong: int
    seconds: float
    histogram: HdrHistogram


class Clients:
    """Clients with a connection each, one request at a time on it."""

    def __init__(self, port: int, connections: int, number: int) -> None:
        self.poll = select.epoll()
        self.links: dict[int, socket.socket] = {}
        self.number = number
        self.sent = 0
        for _ in range(connections):
            link = socket.create_connection(("127.0.0.1", port), timeout=5)
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.links[link.fileno()] = link
            self.poll.register(link, select.EPOLLIN)
        self.begun: dict[int, int] = {}
        self.came: dict[int, int] = {}

    def _send(self, number: int, due_ns: int) -> None:
        self.sent += 1
        self.begun[number] = due_ns
        self.came[number] = 0
        self.links[number].send(
            b"GET /lookup?obj=k%d HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %08x%08x\r\n"
            b"X-Class: lookup\r\nX-Tenant: ash\r\nX-Deadline-Ms: 2000\r\n\r\n"
            % (self.sent % 500, self.number, self.sent)
        )

    def burst(self, seconds: float, per_s: float = 0.0) -> Burst:
        """`per_s`: an open loop at that rate, where a request waits for a free connection but its
        time does not; 0: a closed loop, as fast as it goes. Raises TimeoutError where answers
        stop.
        """
        histogram = HdrHistogram(1, LONGEST_US, 3)
        idle = list(self.links)
        answers = wrong = 0
        begin = time.monotonic_ns()
        end = begin + int(seconds * 1e9)
        gap = int(1e9 / per_s) if per_s else 0
        due, heard = begin, begin
        while True:
            now = time.monotonic_ns()
            while idle and now < end and due <= now:
                self._send(idle.pop(), due if gap else now)
                due = due + gap if gap else now
            if now >= end and not self.begun:
                break
            if now - heard > STALLED_S * 1e9:
                raise TimeoutError("answers stopped coming")
            wait = max(0.0, (due - now) / 1e9) if gap and idle and now < end else 0.1
            for number, _ in self.poll.poll(wait):
                data = self.links[number].recv(65536)
                if not data:
                    raise TimeoutError("a connection was closed")
                heard = now = time.monotonic_ns()
                if self.came[number] == 0:
                    wrong += not data.startswith(b"HTTP/1.1 200")
                self.came[number] += len(data)
                if data.startswith(b"HTTP/1.1 200") and not data.endswith(b"x"):
                    continue  # the rest of its body is still to come
                histogram.record_value(
                    max(1, min(LONGEST_US, (now - self.begun.pop(number)) // 1000))
                )
                answers += 1
                idle.append(number)
        return Burst(answers, wrong, (time.monotonic_ns() - begin) / 1e9, histogram)

    def close(self) -> None:
        for link in self.links.values():
            link.close()
        self.poll.close()


def ask(port: int, connections: int, number: int) -> None:
    """Clients that take their orders, `SECONDS RATE`, from standard input, and answer each with a
    line. They connect at the first one: while others are still being started a connection would
    stand unused, and be closed.
    """
    clients: Clients | None = None
    print("ready", flush=True)
    for line in sys.stdin:
        seconds, per_s = map(float, line.split())
        try:
            clients = clients or Clients(port, connections, number)
            found = clients.burst(seconds, per_s)
        except (TimeoutError, OSError) as error:
            print(f"error {error}", flush=True)
            return
        times = found.histogram.encode().decode()
        print(f"{found.answers} {found.wrong} {found.seconds} {times}", flush=True)
    if clients is not None:
        clients.close()


if __name__ == "__main__":
    if sys.argv[1] == "answer":
        answer(int(sys.argv[2]))
    else:
        ask(int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]))
