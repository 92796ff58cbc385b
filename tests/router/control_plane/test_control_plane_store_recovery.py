"""Members that can't continue with their store: it diverged or is damaged, or they were removed meanwhile."""

from __future__ import annotations

import asyncio
import os
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from mallowbeam.router.consensus.errors import DivergedError
from mallowbeam.router.consensus.storage import ReplicaStore, StoreDamagedError
from mallowbeam.router.control_plane import membership_policy, raft_driver, role
from mallowbeam.router.control_plane.bootstrap import seed_identity
from mallowbeam.router.control_plane.store_recovery import (
    STORE_FOLDER,
    DamageReportingStore,
    discard_and_reopen,
    open_store,
)
from mallowbeam.router.processes.role import RoleContext
from mallowbeam.router.processes.settings import NodeSettings
from mallowbeam.simulation.fleet import FleetPlayer
from mallowbeam.simulation.fleet_processes import settings_of

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
HEAD = "members m1 m2 m3\nat 2 put 1 on 0\nby 6 expect taken 1\nat 8 expect voters 3\n"


class Diverged(unittest.TestCase):
    def test_a_member_whose_log_contradicts_the_group_rejoins_as_a_new_one(self) -> None:
        player = FleetPlayer(
            HEAD + "at 12 expect voters 3\nat 12 put 2 on 1\nby 14 expect taken 2\n"
            "by 15 expect members revision 2\nend 15"
        )
        before: list[int] = []

        def contradict() -> None:
            name = player.names("followers")[0]
            member = player.members[name]
            before.append(member.replica.identity)
            for entry in member.program.parts.driver.node._state.log._entries:
                entry.term += 7
            player.do_kill("leader")
            player.simulator.after(2.0, lambda: player.do_start("members"))
            self.member = member

        player.simulator.at(8.5, contradict)
        player.play()
        self.assertNotEqual(self.member.replica.identity, before[0])

    def test_the_driver_takes_no_further_step(self) -> None:
        player = FleetPlayer(HEAD + "end 9")
        player.play()
        driver = player.members["m2"].program.parts.driver
        seen: list[Exception] = []
        driver._listener = mock.Mock(store_unusable=seen.append)
        with mock.patch.object(type(driver.node), "receive", side_effect=DivergedError("x", step="append")):
            driver._events.append(raft_driver._Receive(1, mock.Mock()))
            driver._step()
        self.assertIsInstance(seen[0], DivergedError)
        driver._enqueue(raft_driver._Transfer())
        self.assertEqual(len(driver._events), 1)  # it is never processed


class RemovedLate(unittest.TestCase):
    """A member returns with its old store after a longer absence than learners are kept for."""

    TEXT = HEAD + (
        "at 8 add m4\nat 10 kill m3\nby 14 expect voters 3\nat 14 put 2 on 1\n"
        "by 17 expect taken 2\nat 20 put 3 on 2\nby 23 expect taken 3\nat 23 put 4 on 3\n"
        "by 26 expect taken 4\n"
        "at 60 start m3\nby 64 expect m3 revision 4\nat 64 kill m4\nby 68 expect voters 3\n"
        "at 68 kill m1\nat 70 put 5 on 4 via m3\nby 76 expect taken 5\nend 77"
    )

    def test_it_joins_again_as_a_member(self) -> None:
        player = FleetPlayer(self.TEXT)
        player.play()
        self.assertEqual(self._members(player), 4)

    def test_it_joins_again_after_the_log_was_compacted(self) -> None:
        player = FleetPlayer(self.TEXT)
        with (
            mock.patch.object(raft_driver, "COMPACT_ENTRIES", 3),
            mock.patch("mallowbeam.router.control_plane.member_builder.TRAILING_ENTRIES", 0),
        ):
            player.play()
        node = player.members["m3"].program.parts.driver.node
        self.assertGreater(node._state.log.snapshot.index, 3)

    def test_it_was_removed_while_absent(self) -> None:
        text = self.TEXT.partition("at 60 start")[0] + "end 59"
        player = FleetPlayer(text)
        player.play()
        self.assertEqual(self._members(player), 3)
        self.assertGreater(60 - 10, membership_policy.LEARNER_TIMEOUT_S)

    @staticmethod
    def _members(player: FleetPlayer) -> int:
        program = player.members[player.names("leader")[0]].program
        return len(program.parts.driver.node.membership.members)


class Stores(unittest.TestCase):
    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.settings = self._settings()

    def _settings(self) -> NodeSettings:
        settings = settings_of("m1", SEEDS[0], SEEDS, member=True, bootstrap=True)
        return mock.Mock(
            wraps=settings,
            data_dir=self.folder,
            bootstrap=True,
            seeds=settings.seeds,
            limits=settings.limits,
            bind_addresses=settings.bind_addresses,
            port_range=settings.port_range,
        )

    @property
    def first_identity(self) -> int:
        return seed_identity(self.settings.bind_addresses.control)

    def test_the_identity_of_a_discarded_store_is_not_reused(self) -> None:
        opened = open_store(self.settings)
        self.assertEqual(opened.identity, self.first_identity)
        opened.store.close()
        reopened = discard_and_reopen(self.settings)
        self.assertNotEqual(reopened.identity, self.first_identity)
        self.assertFalse(reopened.restored.snapshot.membership.members)
        reopened.store.close()

    def test_the_identity_is_not_reused_if_the_process_ends_before_the_new_store_is_created(self) -> None:
        open_store(self.settings).store.close()
        with mock.patch.object(ReplicaStore, "create", side_effect=KeyboardInterrupt):
            with self.assertRaises(KeyboardInterrupt):
                discard_and_reopen(self.settings)
        opened = open_store(self.settings)
        self.assertNotEqual(opened.identity, self.first_identity)
        opened.store.close()

    def test_the_identity_of_a_store_that_is_damaged_at_the_start_is_not_reused(self) -> None:
        open_store(self.settings).store.close()
        for path in Path(self.folder, STORE_FOLDER).iterdir():
            path.write_bytes(b"\0" * path.stat().st_size)
        opened = open_store(self.settings)
        self.assertNotEqual(opened.identity, self.first_identity)
        opened.store.close()
        self.assertTrue(os.path.exists(os.path.join(self.folder, STORE_FOLDER, "discarded")))

    def test_damage_while_running_is_reported(self) -> None:
        store, received = mock.Mock(), []
        store.write.side_effect = StoreDamagedError("torn", step="commit")
        with self.assertRaises(StoreDamagedError):
            DamageReportingStore(store, received.append).write([])
        self.assertEqual([error.code for error in received], ["STORE_DAMAGED"])


class FakeMember:
    """Stands in for a member: the first one finds its store unusable, the next ones run."""

    made: list[FakeMember] = []

    def __init__(self, settings: object, opened) -> None:
        self.opened, self.storage_ended, self.stopped = opened, True, False
        self.unusable = asyncio.get_running_loop().create_future()
        self.outdated = asyncio.get_running_loop().create_future()
        self.made.append(self)

    def reload(self, settings: object) -> None:
        pass

    async def start(self) -> None:
        if len(self.made) == 1:
            self.unusable.set_result(DivergedError("entry 5", step="append"))
        else:
            self.context.stopping.set()

    async def stop(self) -> None:
        self.stopped = True


class Role(unittest.TestCase):
    def play(self, storage_ended: bool = True) -> list[FakeMember]:
        identities = iter(range(1, 9))
        context = mock.Mock(spec=RoleContext)

        def opening(settings: object) -> mock.Mock:
            return mock.Mock(identity=next(identities))

        async def serve() -> None:
            context.stopping = asyncio.Event()
            FakeMember.context, FakeMember.made = context, []
            await role.serve(context)

        with mock.patch.multiple(
            role, open_store=opening, discard_and_reopen=opening, build_member=FakeMember
        ):
            with mock.patch.object(FakeMember, "storage_ended", storage_ended, create=True):
                asyncio.run(serve())
        return FakeMember.made

    def test_a_member_with_an_unusable_store_is_stopped_and_replaced_by_a_new_one(self) -> None:
        first, second = self.play()
        self.assertTrue(first.stopped and second.stopped)
        first.opened.store.close.assert_called_once()
        self.assertNotEqual(first.opened.identity, second.opened.identity)

    def test_a_store_with_a_write_in_progress_is_not_discarded(self) -> None:
        def init(self, settings: object, opened, original=FakeMember.__init__) -> None:
            original(self, settings, opened)
            self.storage_ended = False

        with mock.patch.object(FakeMember, "__init__", init), self.assertRaises(DivergedError):
            self.play()
        self.assertEqual(len(FakeMember.made), 1)


if __name__ == "__main__":
    unittest.main()
