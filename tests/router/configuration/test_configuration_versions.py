"""Compare-and-set, resent configurations and snapshots: the scenarios, and faulty variants."""

from __future__ import annotations

import unittest

from configuration_documents import body_of, document
from configuration_scenario import SCENARIOS, Scenario, VersionsFactory, restored_copy
from configuration_variants import (
    AcceptsAnyBase,
    AcceptsAnyRevision,
    DropsTheOldestRejection,
    ForgetsDigests,
    ForgetsOnRestart,
    ForgetsOutcomesOfPatches,
    ForgetsRejections,
    ForgetsRejectionsOnRestart,
    KeepsPreviousDocument,
    PatchesWithoutRemoval,
    RecordsWithoutBound,
    RejectsForgottenCommands,
    SavesWithoutPatches,
)

from mallowbeam.router.configuration.accepted import RECORD
from mallowbeam.router.configuration.parsing import ConfigurationParser
from mallowbeam.router.configuration.versions import ConfigurationVersions, put_command
from mallowbeam.router.rpc.messages_pb2 import (
    ALREADY_DONE,
    DONE,
    ReplicatedState,
    RetireInstance,
)

BROKEN: dict[type[ConfigurationVersions], tuple[str, ...]] = {
    ForgetsDigests: ("resend", "restart", "bound"),
    ForgetsOnRestart: ("restart",),
    AcceptsAnyBase: ("race", "versions"),
    AcceptsAnyRevision: ("race", "versions"),
    RecordsWithoutBound: ("bound",),
    RejectsForgottenCommands: ("bound",),
    ForgetsRejections: ("late_copy", "refusals_bound"),
    ForgetsRejectionsOnRestart: ("late_copy",),
    DropsTheOldestRejection: ("refusals_bound",),
    ForgetsOutcomesOfPatches: ("patch",),
    PatchesWithoutRemoval: ("patch", "patch_invalid"),
    SavesWithoutPatches: ("patch",),
    KeepsPreviousDocument: ("race", "resend", "gateways"),
}


def play(name: str, kind: type[ConfigurationVersions]) -> None:
    """Run one scenario with one kind of state machine."""
    make: VersionsFactory = lambda bounds: kind(**bounds)  # noqa: E731
    Scenario(make).run((SCENARIOS / f"{name}.txt").read_text())


class Scenarios(unittest.TestCase):
    """Each scenario file, and each faulty variant in the files that must detect it."""

    def test_scenarios(self) -> None:
        names = sorted(path.stem for path in SCENARIOS.glob("*.txt"))
        self.assertGreaterEqual(len(names), 9)
        for name in names:
            with self.subTest(name):
                play(name, ConfigurationVersions)

    def test_broken_ones_are_found(self) -> None:
        for kind, names in BROKEN.items():
            for name in names:
                with self.subTest(kind.__name__, scenario=name):
                    with self.assertRaises(AssertionError):
                        play(name, kind)


class Versions(unittest.TestCase):
    """Properties that the scenarios do not cover."""

    def test_nothing_is_parsed_twice_when_the_api_shares_its_parser(self) -> None:
        parser = ConfigurationParser()
        versions = ConfigurationVersions(parser)
        parsed = parser.parse(body_of(document()))
        self.assertEqual(versions.apply(put_command(parsed, 0)), DONE)
        self.assertIs(versions.current(), parsed.configuration)

    def test_parser_with_a_newer_document_is_not_the_source_of_the_current_one(self) -> None:
        parser = ConfigurationParser()
        versions = ConfigurationVersions(parser)
        parsed = parser.parse(body_of(document(3)))
        versions.apply(put_command(parsed, 0))
        parser.parse(body_of(document(4)))
        self.assertEqual(versions.current(), parsed.configuration)

    def test_the_current_one_is_parsed_once(self) -> None:
        versions = ConfigurationVersions()
        versions.apply(put_command(ConfigurationParser().parse(body_of(document())), 0))
        self.assertIs(versions.current(), versions.current())

    def test_save_fills_only_its_own_fields(self) -> None:
        versions = ConfigurationVersions()
        versions.apply(put_command(ConfigurationParser().parse(body_of(document())), 0))
        state = ReplicatedState(revision=1, retired=[RetireInstance(id="i-1")])
        versions.save(state)
        versions.save(state)
        self.assertEqual((state.revision, len(state.taken_records)), (7, RECORD.size))
        self.assertEqual(state.retired[0].id, "i-1")

    def test_equal_states_are_saved_as_equal_bytes(self) -> None:
        parser = ConfigurationParser()
        commands = [put_command(parser.parse(body_of(document(n))), n - 1) for n in range(1, 9)]
        saved = set()
        for restarted_at in (None, 3, 7):
            versions = ConfigurationVersions()
            for number, command in enumerate(commands):
                if number == restarted_at:
                    versions = restored_copy(versions)
                self.assertEqual(versions.apply(command), DONE)
                self.assertEqual(versions.apply(command), ALREADY_DONE)
            state = ReplicatedState()
            versions.save(state)
            saved.add(state.SerializeToString(deterministic=True))
        self.assertEqual(len(saved), 1)


if __name__ == "__main__":
    unittest.main()
