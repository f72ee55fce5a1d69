"""Leases: grants, the candidate queue, expiry, fencing tokens and upgrades of older state."""

from __future__ import annotations

import random
import tarfile
from pathlib import Path

import pytest

from loadbalancer.leases import table
from loadbalancer.leases.expiry import MAX_CLOCK_STEP_NS, ActiveClaim, LeaseExpiry
from loadbalancer.leases.fence import FencedReceiver, FencingPosition
from loadbalancer.leases.holder import MAX_CLOCK_DRIFT, LeaseHolder, Phase, RequestKind
from loadbalancer.leases.table import Candidate, Lease
from loadbalancer.store import commands
from loadbalancer.store.commands import (
    Claim,
    ExpireClaim,
    FencedWrite,
    Op,
    OpenSession,
    Release,
    Result,
    ResultCode,
    Upgrade,
    Write,
)
from loadbalancer.store.durable import lease_records, state_files
from loadbalancer.store.durable.state import State
from loadbalancer.store.raft.messages import Entry, EntryKind, Members
from loadbalancer.testbed.cluster import owners
from loadbalancer.testbed.cluster.planted_owners import PLANTS, played

MEMBERS = Members((1,), (), {1: "a"})
MS = 1_000_000
TTL = 900 * MS
FORMAT_1_ARCHIVE = Path(__file__).parents[1] / "kept/store-format-1.tar.xz"
# For each seeded bug, the first simulation seed that detects it.
DETECTING_SEEDS = {
    "no-token-check": 3,
    "time-from-answer": 5,
    "hasty-leader": 30,
    "token-from-clock": 2,
    "forgets-highest": 102,
    "no-look-after-pause": 3,
    "released-by-anybody": 12,
}


class CommandLog:
    """Applies commands to a state, each as the next entry of the log."""

    def __init__(self, state: State) -> None:
        self.state = state

    def apply_command(self, command: commands.AnyCommand) -> Result:
        entry = Entry(1, self.state.applied + 1, EntryKind.COMMAND, commands.pack(command))
        return self.state.apply([entry])[0]

    def claim(self, holder: str, claim_number: int, rank: int = 0) -> tuple[int, ...]:
        return self.apply_command(Claim("work", holder, claim_number, 1000, rank)).versions

    def write(self, key: str, token: int) -> Result:
        return self.apply_command(
            FencedWrite(7, self.state.applied, 0, (Op(key, b"v"),), fences=(("work", token),))
        )

    def lease(self) -> Lease:
        item = self.state.get("lease/work")
        return table.unpack(item.value or b"") if item else Lease("work")


@pytest.fixture
def log(tmp_path: Path) -> CommandLog:
    log = CommandLog(state_files.create_state(tmp_path / "state.db", "c", MEMBERS))
    log.apply_command(Upgrade(2))
    log.apply_command(OpenSession(7))
    return log


def test_one_claim_holds_the_lease_and_candidates_queue_by_rank_then_arrival(
    log: CommandLog,
) -> None:
    """A released lease goes to the first candidate, whose token is valid once it accepts."""
    assert log.claim("a", 11) == (1, 0)
    assert log.claim("b", 12, 5) == (0, 1)
    assert log.claim("c", 13, 5) == (0, 2)
    assert log.claim("d", 14, 0) == (0, 1)
    assert log.claim("a", 11) == (1, 0)  # a renewal keeps the token
    log.apply_command(Release("work", 11, 1))
    lease = log.lease()
    assert (lease.holder, lease.token, lease.is_offered) == ("d", 2, True)
    assert log.write("k", 2).code == ResultCode.FENCED  # an offered lease is not held yet
    assert log.claim("d", 14) == (2, 0)
    assert log.write("k", 2).code == ResultCode.DONE
    assert log.write("k", 1).code == ResultCode.FENCED
    assert log.lease().rejected_writes == 2


def test_late_renewal_of_a_released_claim_is_rejected(log: CommandLog) -> None:
    """A claim message that arrives after the release of its claim must not take the lease again."""
    log.claim("a", 11)
    log.apply_command(Release("work", 11))
    assert log.apply_command(Claim("work", "a", 11, 1000)).text == "this claim was given back"
    assert log.lease().holder == ""


def test_restarted_holder_gets_a_new_token_after_its_earlier_claim_expires(
    log: CommandLog,
) -> None:
    """A process that restarts while it holds the lease queues behind its own earlier claim."""
    log.claim("a", 11)
    assert log.claim("a", 21) == (0, 1)
    assert log.apply_command(ExpireClaim("work", 11, 1)).text == ""
    assert log.claim("a", 21) == (2, 0)


def test_expiry_of_an_earlier_renewal_round_is_rejected(log: CommandLog) -> None:
    """An expiry entry that was proposed before a renewal must not end the renewed claim."""
    log.claim("a", 11)
    log.claim("a", 11)
    assert log.apply_command(ExpireClaim("work", 11, 1)).text == "it was renewed since"
    assert log.lease().holder == "a"
    assert log.apply_command(ExpireClaim("work", 11, 2)).text == ""
    assert log.lease().holder == ""


def test_existing_leases_keep_working_when_the_lease_limit_is_reached(
    log: CommandLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The limit on the number of leases must reject new leases only."""
    monkeypatch.setattr(lease_records, "MAX_LEASES", 2)
    assert log.claim("a", 11) == (1, 0)
    assert log.apply_command(Claim("last", "a", 12, 1000)).versions == (2, 0)
    rejected_claim = log.apply_command(Claim("one-more", "a", 13, 1000))
    assert (
        rejected_claim.code == ResultCode.REFUSED
        and "there are 2 leases already" in rejected_claim.text
    )
    assert log.claim("a", 11) == (1, 0)  # renewed
    assert log.claim("b", 21) == (0, 1)  # queued as a candidate
    # The released lease is offered to the candidate.
    assert log.apply_command(Release("work", 11, 1)).code == ResultCode.DONE
    assert log.claim("b", 21) == (3, 0)
    assert (
        log.write("list/orders", 3).code == ResultCode.DONE
        and log.write("list/orders", 1).code == ResultCode.FENCED
    )
    assert log.apply_command(ExpireClaim("last", 12, 1)).text == "" and log.apply_command(
        Claim("last", "c", 31, 1000)
    ).versions == (4, 0)


def test_candidate_queue_is_bounded_and_plain_writes_to_lease_keys_are_rejected(
    log: CommandLog,
) -> None:
    """Neither many claimants nor a plain write may corrupt the state of a lease."""
    for number in range(table.MAX_CANDIDATES + 1):
        log.claim(f"p{number}", 11 + number)
    assert (
        log.apply_command(Claim("work", "late", 99, 1000)).text
        == "there is no room among the candidates"
    )
    plain_write = log.apply_command(Write(7, 1000, 0, (Op("lease/work", b"mine"),)))
    assert plain_write.code == ResultCode.REFUSED


def test_fencing_tokens_increase_across_release_snapshot_and_restore(
    log: CommandLog, tmp_path: Path
) -> None:
    """A restored store must not repeat tokens that the lost store granted after the snapshot."""
    log.claim("a", 11)
    log.apply_command(Release("work", 11))
    token_before = log.claim("b", 12)[0]
    state_files.flush(log.state)
    snapshot = tmp_path / "copy.db"
    state_files.export_snapshot(tmp_path / "state.db", snapshot)
    restored = CommandLog(state_files.adopt_copy(snapshot, "other", MEMBERS, 5_000))
    assert restored.lease().token == token_before  # the holder may renew the lease or let it expire
    restored.apply_command(ExpireClaim("work", 12, restored.state.active_claims()[0].round))
    token_after = restored.claim("c", 13)[0]
    assert token_after > token_before and table.format_token(token_after) == "5000.1"
    second_restore = state_files.adopt_copy(snapshot, "third", MEMBERS, 6_000)
    assert second_restore.tokens > token_after, (
        "two clusters restored from one copy must not grant the same tokens"
    )


def test_format_1_state_is_opened_and_upgraded_in_place(tmp_path: Path) -> None:
    """A state directory written by format 1 keeps its data and accepts claims after the upgrade."""
    with tarfile.open(FORMAT_1_ARCHIVE) as archive:
        archive.extractall(tmp_path, filter="data")
    log = CommandLog(state_files.open_state(tmp_path / "state.db"))
    assert log.state.format == 1
    assert [item.note for item in log.state.history("config/balancer/orders")] == [
        "second",
        "first",
    ]
    assert log.apply_command(Claim("work", "a", 11, 1000)).code == ResultCode.REFUSED
    digest_before = log.state.digest()
    log.apply_command(Upgrade(2))
    assert log.state.get("lease/mine") is None, "a plain key written under format 1 is not a lease"
    assert (log.state.get("list/orders") or pytest.fail()).value == b"[1,2]"
    assert log.claim("a", 11) == (1, 0)
    assert log.state.digest() != digest_before
    log.state.close()
    assert state_files.open_state(tmp_path / "state.db").format == 2


def test_failed_batch_of_entries_rolls_back_tokens_and_format(tmp_path: Path) -> None:
    """The third entry cannot be decoded, so the state in memory must be as before the batch."""
    state = state_files.create_state(tmp_path / "state.db", "c", MEMBERS)
    entries = [
        Entry(1, 1, EntryKind.COMMAND, commands.pack(Upgrade(2))),
        Entry(1, 2, EntryKind.COMMAND, commands.pack(Claim("work", "a", 11, 1000))),
        Entry(1, 3, EntryKind.MEMBERS, b"\xc1"),
    ]
    with pytest.raises(ValueError):
        state.apply(entries)
    assert (state.format, state.tokens, state.changed_claims, state.applied) == (1, 0, [], 0)
    assert [result.code for result in state.apply(entries[:2])] == [
        ResultCode.DONE,
        ResultCode.DONE,
    ]


# ---- lease holder, expiry and fenced receiver ----------------------------------------------------


def holder_with_granted_lease(now: int = 1000 * MS) -> LeaseHolder:
    """Return a holder that sent its claim at `now` and got token 5 after 300 ms."""
    holder = LeaseHolder("a", 11, TTL, random.Random(1), 0)
    holder.lease_observed(None, now - 500 * MS)
    request = holder.next_request(now)
    assert request is not None and request.kind is RequestKind.CLAIM
    holder.response_received(request.number, 5, 0, "", now + 300 * MS)
    return holder


def test_holder_counts_the_ttl_from_sending_the_claim_and_subtracts_clock_drift() -> None:
    """A slow response must not extend the lease beyond its expiry in the store."""
    holder = holder_with_granted_lease()
    expires_ns = 1000 * MS + int(TTL * (1 - MAX_CLOCK_DRIFT))
    assert holder.token(expires_ns - 1) == 5
    assert holder.token(expires_ns) == 0
    assert holder.phase is Phase.CLAIMING


def test_grant_received_after_the_ttl_gives_no_token() -> None:
    """The response to a claim is delayed until the granted lease has expired."""
    holder = LeaseHolder("a", 11, TTL, random.Random(1), 0)
    holder.lease_observed(None, 0)
    request = holder.next_request(TTL)
    assert request is not None
    holder.response_received(request.number, 5, 0, "", TTL + TTL)
    assert holder.token(2 * TTL) == 0


def test_holder_keeps_its_token_until_the_ttl_expires_when_renewals_fail() -> None:
    """An unreachable store must neither end the lease early nor extend it."""
    holder, now, failed_renewals = holder_with_granted_lease(), 1300 * MS, 0
    while holder.token(now):
        request = holder.next_request(now)
        if request is not None:
            holder.request_failed(request.number, "no answer", now)
            failed_renewals += 1
        now += MS
    assert now == 1000 * MS + int(TTL * (1 - MAX_CLOCK_DRIFT))
    assert 2 <= failed_renewals <= 12, "failed renewals must be retried with backoff"


def test_leave_sends_one_release_request_and_withdraws_the_token() -> None:
    """A leaving process must not use its token while its release is in flight."""
    holder = holder_with_granted_lease()
    holder.leave(1400 * MS)
    assert holder.token(1400 * MS) == 0
    request = holder.next_request(1400 * MS)
    assert request is not None and (request.kind, request.token) == (RequestKind.RELEASE, 5)
    holder.response_received(request.number, 0, 0, "", 1401 * MS)
    assert holder.phase is Phase.RELEASED and holder.next_request(9000 * MS) is None


def test_holder_stops_when_it_observes_a_newer_token_and_ignores_an_older_one() -> None:
    """A newer token means that the lease was lost; an older one comes from a lagging follower."""
    holder = holder_with_granted_lease()
    holder.lease_observed(Lease("work", token=6, holder="b", claim=12), 1350 * MS)
    assert holder.token(1350 * MS) == 0
    holder = holder_with_granted_lease()
    holder.lease_observed(
        Lease("work", token=4, holder="b", claim=12), 1350 * MS
    )  # a stale event from a lagging follower
    assert holder.token(1350 * MS) == 5


def test_observers_send_no_claims_while_the_candidate_queue_is_full() -> None:
    """Claims of 200 observers that would all be rejected must not load the store."""
    candidates = tuple(Candidate(f"p{index}", 50 + index) for index in range(table.MAX_CANDIDATES))
    full_lease = Lease("work", token=3, holder="b", claim=12, candidates=candidates)
    claims = 0
    for number in range(200):
        holder = LeaseHolder(f"x{number}", 1000 + number, TTL, random.Random(number), 0)
        holder.lease_observed(None, 0)  # the lease was free just before
        holder.lease_observed(full_lease, MS)
        claims += any(
            holder.next_request(time_ms * MS, full_lease) is not None
            for time_ms in range(2, 5000, 7)
        )
    assert claims == 0


def test_leader_expires_a_claim_after_its_full_ttl_excluding_process_pauses() -> None:
    """After a pause of its process, the leader must not expire claims with unread renewals."""
    expiry = LeaseExpiry([ActiveClaim("work", 11, 3, 1000)], 0)
    for time_ms in range(0, 1000, 100):
        assert expiry.take_expired(time_ms * MS) == []
    assert expiry.take_expired(1000 * MS) == [ActiveClaim("work", 11, 3, 1000)]
    assert expiry.take_expired(1001 * MS) == [], (
        "a claim is returned once per TTL, not at each call"
    )
    paused_expiry = LeaseExpiry([ActiveClaim("work", 11, 3, 1000)], 0)
    assert paused_expiry.take_expired(60_000 * MS) == [], (
        "renewals may be unread after a pause of a minute"
    )
    assert paused_expiry.take_expired(60_000 * MS + MAX_CLOCK_STEP_NS) != []


def test_receiver_rejects_older_positions_and_all_commands_before_initialization() -> None:
    """After a restart, a receiver must not accept replayed commands of superseded holders."""
    receiver = FencedReceiver(FencingPosition())
    assert not receiver.accept(FencingPosition(9, 1))
    receiver.learn(FencingPosition(7, 4))
    assert not receiver.accept(FencingPosition(7, 3)) and not receiver.accept(
        FencingPosition(6, 99)
    )
    assert (
        receiver.accept(FencingPosition(7, 4))
        and receiver.accept(FencingPosition(8, 0))
        and not receiver.accept(FencingPosition(7, 5))
    )


# ---- many holders on a simulated cluster ---------------------------------------------------------


# The last two seeds failed in a run of 10,000 seeds. In one, a Raft vote arrived long after its
# term had ended. In the other, the simulator skipped a tick.
@pytest.mark.parametrize("seed", [*range(1, 41), 15185, 15676])
def test_under_faults_no_superseded_holder_acts_and_the_lease_is_regranted_in_time(
    seed: int,
) -> None:
    """Simulates lease holders on a cluster with random faults."""
    assert not owners.play(seed).broken, f"seed {seed}"


@pytest.mark.parametrize("seed", range(1, 13))
def test_lease_invariants_hold_with_the_newest_state_format(seed: int) -> None:
    """Simulates lease holders on a cluster that upgrades to the newest state format."""
    assert not owners.play(seed, newest=commands.STATE_FORMAT).broken, f"seed {seed}"


@pytest.mark.parametrize("name", sorted(PLANTS))
def test_simulation_detects_each_seeded_lease_bug(name: str) -> None:
    """Each seeded bug must violate an invariant that the simulation checks."""
    assert played(name, DETECTING_SEEDS[name]).broken


def test_plain_write_keeps_the_encoding_of_format_1() -> None:
    """A cluster may still have nodes of format 1, which must be able to read plain writes."""
    write = Write(5, 1, 0, (Op("k", b"v"),), (), "me", "why", 7)
    assert commands.pack(write).hex() == "99010501009193a16bc40176ff90a26d65a377687907"
    assert commands.required_format(write) == 1
    assert (
        commands.required_format(FencedWrite(5, 1, 0, (Op("k", b"v"),), fences=(("work", 1),))) == 2
    )
