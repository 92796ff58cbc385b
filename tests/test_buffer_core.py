"""The buffer's core: against a plain model of nodes and log with hypothesis, and its decisions one by one."""

from __future__ import annotations

import random

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from mallowbeam.buffer import core as c
from mallowbeam.buffer.core import Core, Entry, Known, Limits, Offer, Outcome, Replay, State

WINDOW, DEADLINE = 4.0, 1.0
LIMITS = Limits(max_bytes=6000, max_records=30, max_age=1000.0, in_flight=4, per_shard=2, deadline=DEADLINE,
                window=WINDOW, shards=2, max_commit=3000, flush_bytes=250)
COST, PER_SEGMENT = 100, 5


class Nodes:
    """What the nodes hold and have run: a run is a repeat if its token ran within the window."""

    def __init__(self) -> None:
        self.versions: dict[tuple[str, bytes], int] = {}  # the lsn whose body is there; 0 for none
        self.applied: dict[tuple[str, bytes], int] = {}  # the highest lsn that ever ran
        self.ran: dict[int, float] = {}        # by lsn, which stands for the token
        self.coming: list[tuple[float, Entry, str | None]] = []  # may yet run, until then

    def run(self, now: float, entry: Entry, seen: str | None) -> bool:
        """Run a write; False where a condition does not hold."""
        if entry.lsn in self.ran:
            assert now - self.ran[entry.lsn] < WINDOW, f"{entry.lsn} ran twice"
            return True
        there = self.versions.get(entry.key, 0)
        if seen is not None and seen != (f"v{there}" if there else ""):
            return False
        assert entry.lsn > self.applied.get(entry.key, 0), "a key's writes ran out of order"
        self.ran[entry.lsn] = now
        self.applied[entry.key] = entry.lsn
        self.versions[entry.key] = 0 if entry.method == "DELETE" else entry.lsn
        return True


class World:
    """A core, its log and nodes; what the shell does is done here by hand, in any order."""

    def __init__(self, limits: Limits = LIMITS) -> None:
        self.limits, self.now, self.boot, self.lsn = limits, 100.0, b"b0", 0
        self.core = Core(limits, random.Random(7))
        self.core.away = False
        self.log: list[tuple[int, tuple]] = []  # segment and record, as durable
        self.segment = 1
        self.pending: list[tuple] = []         # appended, not synced
        self.sends: dict[int, c.Send] = {}
        self.reads: dict[int, c.ReadBack] = {}
        self.sent_at: dict[int, float] = {}
        self.nodes = Nodes()
        self.durable: dict[tuple[str, bytes], list[int]] = {}  # writes by key, in order
        self.methods: dict[int, str] = {}
        self.barriers: dict[int, str] = {}
        self.passed: set[int] = set()

    # what clients do

    def entry(self, lsn: int, bucket: str, name: bytes, method: str, at: float) -> Entry:
        return Entry(lsn, bucket, name, method, name[0], f"v{lsn}", 60, COST, at)

    def offer(self, bucket: str, name: bytes, method: str = "PUT") -> int | None:
        if self.core.offer(self.now, bucket, name, COST) is not Offer.TAKE:
            return None
        self.lsn += 1
        self.core.accept(self.entry(self.lsn, bucket, name, method, self.now))
        self.pending.append(("write", self.lsn, bucket, name, method))
        return self.lsn

    def barrier(self, bucket: str) -> int:
        self.lsn += 1
        self.core.barrier(self.lsn, bucket)
        self.pending.append(("barrier", self.lsn, bucket))
        return self.lsn

    def direct(self, bucket: str, name: bytes, method: str = "PUT") -> bool:
        """A write past the buffer, acknowledged by its node; False where its order forbids that."""
        if self.core.ordered(bucket, name):
            return False
        self.lsn += 1
        entry = self.entry(self.lsn, bucket, name, method, self.now)
        self.methods[self.lsn] = method
        self.durable.setdefault(entry.key, []).append(self.lsn)
        assert self.nodes.run(self.now, entry, None)
        return True

    # what the shell and the disk do

    def keep(self, record: tuple) -> int:
        """A record becomes durable; its segment."""
        if sum(segment == self.segment for segment, _ in self.log) >= PER_SEGMENT:
            self.segment += 1
        self.log.append((self.segment, record))
        match record:
            case ("write", lsn, bucket, name, method):
                self.durable.setdefault((bucket, name), []).append(lsn)
                self.methods[lsn] = method
            case ("barrier", lsn, bucket):
                self.barriers[lsn] = bucket
        self.sizes()
        return self.segment

    def sizes(self) -> None:
        sizes: dict[int, int] = {}
        for segment, _ in self.log:
            sizes[segment] = sizes.get(segment, 0) + COST
        sizes.setdefault(self.segment, 0)
        self.core.on_disk(sizes, self.segment)

    def commit(self, good: bool = True) -> None:
        """All that waits is synced, or none of it, and then it is void."""
        batch, self.pending = self.pending, []
        lost = []
        for record in batch:
            kind = record[0]
            if not good:
                match record:
                    case ("write", lsn, *_):
                        lost.append(lsn)
                        self.core.lost(lsn)
                    case ("barrier", lsn, *_):
                        lost.append(lsn)
                        self.core.barrier_lost(lsn)
                    case ("intent", lsns, _):
                        self.core.not_intended(self.now, lsns)
                    case ("done", lsns):
                        self.core.not_settled(lsns)
                    case ("moved", *_):
                        self.core.moving_over()
                continue
            segment = self.keep(record)
            if kind == "write":
                self.core.durable(self.now, record[1], (segment, 0), ())
            elif kind == "barrier":
                self.core.barrier_durable(record[1], segment)
            elif kind == "intent":
                self.core.intended(self.now, record[1])
            elif kind == "done":
                self.core.settled(record[1])
            elif kind == "moved":
                self.core.moved(record[1], (segment, 0), ())
                self.core.moving_over()
        if lost:
            self.log.append((self.segment, ("done", lost)))
        self.do()

    def do(self) -> None:
        for action in self.core.take():
            match action:
                case c.Intend(lsns):
                    self.pending.append(("intent", lsns, (self.boot, self.now, self.limits.shards)))
                case c.Settle(lsns):
                    self.pending.append(("done", lsns))
                case c.Hold(lsn, reason):
                    self.pending.append(("held", lsn, reason))
                case c.Send(lsn, expires, _):
                    assert any(r[0] == "intent" and lsn in r[1] or r[0] == "moved" and r[1] == lsn
                               for _, r in self.log), "sent without an intent"
                    assert expires > 0
                    self.sends[lsn], self.sent_at[lsn] = action, self.now
                case c.ReadBack(lsn, _):
                    self.reads[lsn] = action
                case c.Passed(lsn):
                    self.passed.add(lsn)
                    self.check_barrier(lsn)
                case c.Remove(segments):
                    self.log = [(s, r) for s, r in self.log if s not in segments]
                    self.core.removed(segments)
                case c.Move(lsns):
                    for lsn in lsns:
                        if lsn in self.core.barriers:
                            self.core.barrier_moved(lsn, self.keep(("barrier again", lsn,
                                                                    self.core.barriers[lsn][0])))
                        elif (e := self.core.entries.get(lsn)) is not None:
                            intent = None if e.intent is None else (self.boot, max(0.0, e.doubt or e.intent),
                                                                    self.limits.shards)
                            self.pending.append(("moved", lsn, e.bucket, e.name, e.method, intent,
                                                 e.reason or None))
                    self.core.moving_over()
        assert self.core.out <= self.limits.in_flight
        assert self.core.out_bytes <= max(60, self.limits.flush_bytes)
        assert all(shard.out <= self.limits.per_shard for shard in self.core.shards.values())

    def plan(self, direct: int = 0) -> None:
        self.core.plan(self.now, direct)
        self.do()

    # what nodes do

    def run(self, entry: Entry, seen: str | None) -> bool:
        for lsn, bucket in self.barriers.items():
            if bucket == entry.bucket and lsn < entry.lsn:
                self.check_barrier(lsn)
        return self.nodes.run(self.now, entry, seen)

    def check_barrier(self, barrier: int) -> None:
        """All taken in before a barrier is on the nodes."""
        for key, lsns in self.durable.items():
            before = [lsn for lsn in lsns if lsn < barrier]
            if key[0] == self.barriers[barrier] and before:
                assert self.nodes.applied.get(key, 0) >= before[-1], "a barrier was passed over"

    def answer(self, lsn: int, how: str) -> None:
        send = self.sends.pop(lsn)
        entry, outcome = self.core.entries[lsn], Outcome.UNKNOWN
        until = self.sent_at[lsn] + send.expires
        if self.now > until and how in ("stored", "ran", "late"):
            how = "gone"                       # by then the node has dropped it
        if how in ("stored", "ran"):
            assert self.run(entry, send.seen)
            outcome = Outcome.STORED if how == "stored" else Outcome.UNKNOWN
        elif how == "late":
            self.nodes.coming.append((until, entry, send.seen))
        elif how == "refused":
            outcome = Outcome.REFUSED
        self.core.sent(self.now, lsn, outcome, 0.05)
        self.do()

    def look(self, lsn: int, answered: bool) -> None:
        self.reads.pop(lsn)
        entry = self.core.entries[lsn]
        version = self.nodes.versions.get(entry.key, 0)
        if answered and not version and entry.method == "DELETE":
            self.nodes.applied[entry.key] = lsn  # what was to be gone is gone: as good as run
        self.core.read_back(self.now, lsn, f"v{version}" if version else None, answered)
        self.do()

    def advance(self, seconds: float) -> None:
        """Time passes; what may yet run does, at the last moment or never."""
        self.now += seconds
        later = []
        for until, entry, seen in self.nodes.coming:
            if until < self.now:
                self.now, now = until, self.now
                self.run(entry, seen)
                self.now = now
            else:
                later.append((until, entry, seen))
        self.nodes.coming = later

    # what goes wrong

    def crash(self, kept: int, reboot: bool, ran: list[bool]) -> None:
        """This life ends: some of what was not synced stands all the same; attempts out run or not."""
        for record in self.pending[:kept]:
            self.keep(record)
        self.pending = []
        for i, (lsn, send) in enumerate(sorted(self.sends.items())):
            until = self.sent_at[lsn] + send.expires
            if until > self.now and ran[i % len(ran)]:
                self.nodes.coming.append((until, self.core.entries[lsn], send.seen))
        self.sends, self.reads = {}, {}
        if reboot:
            self.boot += b"+"
        self.core = Core(self.limits, random.Random(7))
        self.segment += 1
        self.sizes()
        state = Replay()
        for segment, record in self.log:
            match record:
                case ("write", lsn, bucket, name, method):
                    state.write(Known(self.entry(lsn, bucket, name, method, self.now), (segment, 0), []))
                case ("moved", lsn, bucket, name, method, intent, held):
                    state.write(Known(self.entry(lsn, bucket, name, method, self.now), (segment, 0), [],
                                      intent, held))
                case ("barrier" | "barrier again", lsn, bucket):
                    state.barrier(lsn, bucket, segment)
                case ("intent", lsns, intent):
                    state.intent(lsns, intent)
                case ("done", lsns):
                    state.settled(lsns)
                case ("held", lsn, reason):
                    state.held(lsn, reason)
        state.build(self.core, self.now, self.boot)
        self.do()

    def drain(self) -> None:
        """Everything is well from now on: all goes to the nodes, in bounded time."""
        for _ in range(4000):
            self.plan()
            self.commit()
            for lsn in list(self.sends):
                self.answer(lsn, "stored")
            for lsn in list(self.reads):
                self.look(lsn, True)
            if not self.core.entries and not self.pending:
                break
            self.advance(0.05)
        assert not self.core.entries, [(e.lsn, e.state) for e in self.core.entries.values()]
        assert not self.core.barriers and not self.core.keys and not self.core.groups
        assert self.core.out == self.core.out_bytes == self.core.committing == 0
        self.check_reads()
        for key, lsns in self.durable.items():
            last = lsns[-1]
            assert self.nodes.versions.get(key, 0) == (0 if self.methods[last] == "DELETE" else last)

    def check_reads(self) -> None:
        """A reader sees the newest durable write, here or at its node."""
        for key, lsns in self.durable.items():
            newest = self.core.newest_of(*key)
            if newest is not None:
                assert newest.lsn == lsns[-1]
            else:
                assert self.nodes.applied.get(key) == lsns[-1]


class Machine(RuleBasedStateMachine):
    """Clients, disk, nodes and crashes in any order."""

    @initialize()
    def begin(self) -> None:
        self.world = World()

    @rule(key=st.integers(0, 4), bucket=st.sampled_from("ab"),
          method=st.sampled_from(["PUT", "PUT", "DELETE"]))
    def put(self, key: int, bucket: str, method: str) -> None:
        self.world.offer(bucket, b"%d" % key, method)

    @rule(key=st.integers(0, 4), bucket=st.sampled_from("ab"))
    def put_direct(self, key: int, bucket: str) -> None:
        self.world.direct(bucket, b"%d" % key)

    @rule(bucket=st.sampled_from("ab"))
    def set_barrier(self, bucket: str) -> None:
        if len(self.world.core.barriers) < 8:
            self.world.barrier(bucket)

    @rule(good=st.sampled_from([True, True, True, False]))
    def commit(self, good: bool) -> None:
        self.world.commit(good)

    @rule(direct=st.sampled_from([0, 0, 3, 100]))
    def plan(self, direct: int) -> None:
        self.world.plan(direct)

    @precondition(lambda self: self.world.sends)
    @rule(which=st.integers(0, 9),
          how=st.sampled_from(["stored", "stored", "stored", "ran", "late", "refused", "gone"]))
    def answer(self, which: int, how: str) -> None:
        self.world.answer(sorted(self.world.sends)[which % len(self.world.sends)], how)

    @precondition(lambda self: self.world.reads)
    @rule(which=st.integers(0, 9), answered=st.sampled_from([True, True, False]))
    def look(self, which: int, answered: bool) -> None:
        self.world.look(sorted(self.world.reads)[which % len(self.world.reads)], answered)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 1.0, 2.0, 5.0]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(kept=st.integers(0, 10), reboot=st.booleans(), ran=st.lists(st.booleans(), min_size=1, max_size=3))
    def crash(self, kept: int, reboot: bool, ran: list[bool]) -> None:
        self.world.crash(kept, reboot, ran)

    @invariant()
    def readers_see_the_newest(self) -> None:
        if hasattr(self, "world"):
            self.world.check_reads()

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.drain()


# Some 45 steps a run, over 10,000 in all; what fails is printed with what reproduces it.
Machine.TestCase.settings = hypothesis_settings(max_examples=300, stateful_step_count=50, deadline=None,
                                                print_blob=True)
TestTheCoreAgainstAModel = Machine.TestCase


def sent(world: World) -> list[int]:
    world.plan()
    world.commit()
    return sorted(world.sends)


def test_a_later_write_absorbs_an_earlier_one_unsent_but_never_past_a_barrier():
    world = World()
    first, second = world.offer("a", b"k"), world.offer("a", b"k")
    world.commit()
    assert list(world.core.entries) == [second] and world.core.counts.absorbed == 1 and first != second
    world.barrier("a")
    third = world.offer("a", b"k")
    world.commit()
    assert list(world.core.entries) == [second, third]
    assert sent(world) == [second]


def test_a_write_behind_a_barrier_waits_for_all_before_it_in_its_bucket_only():
    world = World()
    before, barrier, behind = world.offer("a", b"1"), world.barrier("a"), world.offer("a", b"2")
    elsewhere = world.offer("b", b"3")
    world.commit()
    assert sent(world) == [before, elsewhere] and world.core.before(barrier) == 1
    world.answer(before, "stored")
    assert barrier in world.passed and world.core.before(barrier) is None
    assert behind in sent(world)


def test_an_attempt_that_may_have_run_goes_again_within_the_window_only():
    world = World()
    lsn = world.offer("a", b"k")
    world.commit()
    assert sent(world) == [lsn]
    world.answer(lsn, "ran")
    world.advance(0.5)
    assert sent(world) == [lsn] and world.sends[lsn].expires <= WINDOW - 0.5
    world.answer(lsn, "gone")
    world.advance(WINDOW)
    world.plan()
    assert not world.sends and list(world.reads) == [lsn]
    world.look(lsn, True)
    assert not world.core.entries and world.core.counts.repeats == 1


def test_a_repeat_is_given_no_more_time_than_the_window_has_left():
    world = World()
    lsn = world.offer("a", b"k")
    world.commit()
    sent(world)
    world.answer(lsn, "gone")
    world.advance(WINDOW - c.SAFE_MARGIN - 0.3)
    world.plan()
    assert 0 < world.sends[lsn].expires <= 0.3 + 1e-9


@pytest.mark.parametrize("ran", [True, False])
def test_after_a_reboot_an_attempt_of_unknown_end_is_read_back_and_not_too_early(ran):
    world = World()
    lsn = world.offer("a", b"k")
    world.commit()
    sent(world)
    if ran:
        assert world.run(world.core.entries[lsn], None)
    world.crash(0, True, [False])
    world.plan()
    assert not world.sends and not world.reads
    world.advance(DEADLINE + c.DROPPED + 0.01)
    world.plan()
    assert list(world.reads) == [lsn]
    world.look(lsn, True)
    if not ran:
        assert sent(world) == [lsn] and world.sends[lsn].seen == ""
        world.answer(lsn, "stored")
    assert not world.core.entries


def test_within_one_boot_a_crash_leaves_the_rest_of_the_window():
    world = World()
    lsn = world.offer("a", b"k")
    world.commit()
    sent(world)
    world.advance(1.0)
    world.crash(0, False, [False])
    assert sent(world) == [lsn] and world.sends[lsn].seen is None
    assert world.sends[lsn].expires <= WINDOW - 1.0 - c.SAFE_MARGIN + 1e-9


def test_a_clock_from_another_boot_or_place_is_not_believed():
    """An intent "from the future", of another boot, or with other places of objects: read back."""
    for told in ((b"b0", 200.0, 2), (b"other", 99.9, 2), (b"b0", 99.9, 3)):
        world = World()
        state = Replay()
        state.write(Known(world.entry(1, "a", b"k", "PUT", 0.0), (1, 0), []))
        state.intent([1], told)
        core = Core(LIMITS, random.Random(1))
        state.build(core, 100.0, b"b0")
        core.plan(100.0)
        assert core.take() == [] and core.entries[1].state is State.DOUBTFUL


def test_a_version_that_came_from_elsewhere_is_held_where_others_may_write():
    from dataclasses import replace
    world = World(replace(LIMITS, sole_writer=False))
    lsn = world.offer("a", b"k")
    world.commit()
    sent(world)
    world.answer(lsn, "gone")
    world.nodes.versions["a", b"k"] = 77
    world.advance(9.0)
    world.plan()
    world.look(lsn, True)
    assert world.core.entries[lsn].state is State.HELD and world.core.held == 1
    assert world.core.blocked("a") is world.core.entries[lsn]
    world.crash(9, True, [False])
    assert world.core.entries[lsn].state is State.HELD and sent(world) == []
    assert not world.core.release(world.now, 999, True)
    assert world.core.release(world.now, lsn, False)
    world.do()
    world.commit()
    assert sent(world) == [lsn]


def test_a_nodes_own_no_holds_the_write_and_its_bucket_behind_a_barrier_only():
    world = World()
    lsn, other = world.offer("a", b"1"), world.offer("a", b"2")
    world.commit()
    sent(world)
    world.core.sent(world.now, lsn, Outcome.DECLINED, reason="its node answers 403")
    world.sends.pop(lsn)
    world.answer(other, "stored")
    barrier, behind = world.barrier("a"), world.offer("a", b"3")
    world.commit()
    assert sent(world) == [] and world.core.before(barrier) == 1
    assert world.core.release(world.now, lsn, True)
    world.nodes.applied["a", b"1"] = lsn       # dropped: it counts for the barrier as if it were there
    assert sent(world) == [behind] and lsn not in world.core.entries


def test_what_is_full_goes_direct_unless_its_order_forbids():
    from dataclasses import replace
    for limits in (replace(LIMITS, max_records=1), replace(LIMITS, max_bytes=COST + 10),
                   replace(LIMITS, max_age=5.0)):
        world = World(limits)
        world.offer("a", b"k")
        world.commit()
        world.advance(6.0)
        offer = world.core.offer
        assert offer(world.now, "a", b"other", COST) is Offer.DIRECT
        assert offer(world.now, "a", b"k", COST) is Offer.SLOW
        world.barrier("a")
        assert offer(world.now, "a", b"other", COST) is Offer.SLOW
        assert offer(world.now, "b", b"other", COST) is Offer.DIRECT


def test_nothing_is_decided_about_writes_while_the_folder_is_not_known():
    core = Core(LIMITS, random.Random(1))
    assert core.offer(0.0, "a", b"k", 1) is Offer.SLOW
    core.away, core.broken = False, "no disk"
    assert core.offer(0.0, "a", b"k", 1) is Offer.DIRECT
    core.tainted.add(("a", b"k"))
    assert core.offer(0.0, "a", b"k", 1) is Offer.SLOW


def test_a_held_write_does_not_make_the_buffer_old():
    world = World()
    lsn = world.offer("a", b"k")
    world.commit()
    world.core.hold(lsn, "unreadable")
    world.advance(2000.0)
    assert world.core.age(world.now) == 0.0
    assert world.core.offer(world.now, "a", b"x", COST) is Offer.TAKE


def test_the_flush_gives_way_to_direct_traffic_until_the_buffer_fills():
    world = World(Limits(in_flight=32, max_records=100))
    assert world.core.allowed(0.0, 0) == 32
    assert world.core.allowed(0.0, 8) == 16 and world.core.allowed(0.0, 1000) == 3
    for i in range(75):
        world.offer("a", b"%d" % i)
    assert world.core.allowed(world.now, 1000) == 16
    for i in range(75, 100):
        world.offer("a", b"%d" % i)
    assert world.core.allowed(world.now, 1000) == 32


def test_repeats_keep_within_their_budget_and_a_floor():
    """All nodes fail: after the stock is used, repeats go at the floor's rate whatever waits."""
    world = World(Limits(shards=1, in_flight=64, per_shard=64, repeat_floor=2.0, window=None,
                         backoff_most=0.1))
    for i in range(40):
        world.offer("a", b"%d" % i)
    world.commit()
    for lsn in sent(world):
        world.answer(lsn, "gone")
    repeats = 0
    for _ in range(400):
        world.advance(0.05)
        for lsn in sent(world):
            repeats += 1
            world.answer(lsn, "gone")
    assert 2.0 * 20 <= repeats <= 2.0 * 20 + 11


def test_a_shard_that_refuses_is_left_alone_and_others_go_on():
    world = World(Limits(shards=2, per_shard=4, in_flight=8))
    slow = [world.offer("a", b"%d" % i) for i in range(0, 6, 2)]  # b"0", b"2", ...: even places
    world.commit()
    sent(world)
    for lsn in slow:
        world.core.sent(world.now, lsn, Outcome.REFUSED, 10.0)
        world.sends.pop(lsn)
    well = world.offer("a", b"1")
    late = world.offer("a", b"8")
    world.commit()
    assert sent(world) == [well]
    world.advance(25.0)
    assert late in sent(world)
    assert world.core.shards[0].window < 4


def test_an_old_segment_that_one_held_write_keeps_is_emptied_by_copying():
    from dataclasses import replace
    world = World(replace(LIMITS, max_bytes=3000, max_records=1000))
    held = world.offer("a", b"k")
    barrier = world.barrier("a")
    world.commit()
    world.core.hold(held, "unreadable")
    for i in range(60):
        world.offer("b", b"%d" % i)
        world.commit()
        for lsn in sent(world):
            world.answer(lsn, "stored")
        world.commit()
        world.plan()
    assert world.core.counts.moved >= 1 and world.core.bytes < 3000
    assert min(segment for segment, _ in world.log) > 1
    world.crash(9, True, [False])
    assert world.core.entries[held].state is State.HELD and world.core.before(barrier) == 1


def test_doubt_costs_a_read_before_anything_else_without_keys():
    from dataclasses import replace
    world = World(replace(LIMITS, keyed=False))
    lsn = world.offer("a", b"k")
    world.commit()
    sent(world)
    world.answer(lsn, "ran")
    world.advance(0.2)
    world.plan()
    assert not world.sends
    world.advance(DEADLINE + 1)
    world.plan()
    world.look(lsn, True)
    assert not world.core.entries


def test_a_write_past_the_buffer_waits_until_the_log_knows_that_the_one_before_is_settled():
    """Else a crash would bring the settled one back, and it would replace what was acknowledged since."""
    world = World()
    lsn = world.offer("a", b"k")
    world.commit()
    sent(world)
    world.answer(lsn, "stored")
    assert not world.core.entries
    assert not world.direct("a", b"k")
    world.commit()
    assert world.direct("a", b"k")
    world.crash(0, True, [False])
    world.drain()


def test_a_later_write_waits_until_the_log_knows_that_an_absorbed_one_is():
    """Else the absorbed one, never sent, would come back behind it."""
    world = World()
    world.offer("a", b"k")
    world.commit()
    later = world.offer("a", b"k")
    world.commit()
    done = world.pending
    assert done and done[0][0] == "done"
    world.pending = []                         # the disk did not take that word
    world.plan()
    assert not world.pending and not world.sends
    world.core.not_settled(done[0][1])
    world.do()
    world.commit()
    assert sent(world) == [later]
