"""The buffer's core checked against a simple model of nodes and log, with hypothesis."""

from __future__ import annotations

from buffer_world import World
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule


class Machine(RuleBasedStateMachine):
    """Events of clients, disk, nodes and crashes in any order."""

    @initialize()
    def begin(self) -> None:
        self.world = World()

    @rule(
        key=st.integers(0, 4), bucket=st.sampled_from("ab"), method=st.sampled_from(["PUT", "PUT", "DELETE"])
    )
    def put(self, key: int, bucket: str, method: str) -> None:
        self.world.put(bucket, b"%d" % key, method)

    @rule(key=st.integers(0, 4), bucket=st.sampled_from("ab"))
    def put_direct(self, key: int, bucket: str) -> None:
        self.world.direct(bucket, b"%d" % key)

    @rule(bucket=st.sampled_from("ab"))
    def set_barrier(self, bucket: str) -> None:
        if len(self.world.core.barriers) < 8:
            self.world.barrier(bucket)

    @rule(succeeds=st.sampled_from([True, True, True, False]))
    def commit(self, succeeds: bool) -> None:
        self.world.commit(succeeds)

    @rule(direct=st.sampled_from([0, 0, 3, 100]))
    def plan(self, direct: int) -> None:
        self.world.plan(direct)

    @precondition(lambda self: self.world.sends)
    @rule(
        which=st.integers(0, 9),
        how=st.sampled_from(["stored", "stored", "stored", "ran", "late", "refused", "gone"]),
    )
    def answer(self, which: int, how: str) -> None:
        self.world.answer(sorted(self.world.sends)[which % len(self.world.sends)], how)

    @precondition(lambda self: self.world.reads)
    @rule(which=st.integers(0, 9), answered=st.sampled_from([True, True, False]))
    def look(self, which: int, answered: bool) -> None:
        self.world.finish_read_back(sorted(self.world.reads)[which % len(self.world.reads)], answered)

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


# About 45 steps a run, over 10,000 in total; `print_blob` prints what reproduces a failure.
Machine.TestCase.settings = hypothesis_settings(
    max_examples=300, stateful_step_count=50, deadline=None, print_blob=True
)
TestTheCoreAgainstAModel = Machine.TestCase
