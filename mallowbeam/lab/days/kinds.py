"""The kinds of troubles that a test day may have, as data: fields with their ranges, variants, places.

Words and units are those of the site files: seconds in ``for_s`` and ``gap_s``, a part of 1 in ``share``.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Span:
    """A range from which a number is drawn; `whole` ones are integers."""

    least: float
    most: float
    whole: bool = False


@dataclass(frozen=True, slots=True)
class Variant:
    """Words of ``how`` of which one at most stands in an entry; `chance` that one does."""

    words: tuple[str, ...]
    chance: float = 0.5


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of trouble.

    `fields` are always given, `optional` ones by chance. `places` are the fields that say where: ``zone``,
    ``to_zone``, ``region``, ``service``, ``class``; `classes` are the machine classes that ``on`` may name.
    A kind with `only_if` occurs on deployments that have this contract, one with `only_named` on those whose
    site file names it.
    """

    name: str
    planned: bool = False
    fields: dict[str, Span] = field(default_factory=dict)
    optional: dict[str, Span] = field(default_factory=dict)
    variants: tuple[Variant, ...] = ()
    places: tuple[str, ...] = ()
    on: tuple[str, ...] = ()
    only_if: str = ""
    only_named: bool = False


@dataclass(frozen=True, slots=True)
class Closing:
    """A disaster at the day's end."""

    name: str
    variants: tuple[Variant, ...] = ()


FOR = {"for_s": Span(0.5, 8.0)}
COUNT = {"count": Span(1, 2, whole=True)}

AIM = Variant(("turn", "leader", "reader", "seed"))
CHANGE_MEANWHILE = Variant(("meet", "race"))
UNTIL_ANSWERED = Variant(("hard",), 0.3)
INSTANCES_LEAVE = Variant(("drain",), 0.3)
MACHINE = (AIM, CHANGE_MEANWHILE, UNTIL_ANSWERED, INSTANCES_LEAVE)
CUT = Variant(("reset", "refuse"), 0.3)
ACROSS = Variant(("across",), 0.2)
ALL = Variant(("all",), 0.1)
INSTANCES = (ACROSS, ALL)
OLDEST = Variant(("oldest",), 0.4)

INSTANCE_KINDS = (
    Kind(
        "srv_crash",
        fields={"share": Span(0.05, 0.25), **FOR},
        places=("service", "zone"),
        variants=(Variant(("dark", "gone")), *INSTANCES),
    ),
    Kind(
        "release",
        planned=True,
        fields={"share": Span(0.2, 0.6), "gap_s": Span(0.5, 1.5)},
        optional={"x": Span(1, 4, whole=True)},
        places=("service", "zone"),
    ),
    Kind(
        "answer_lost",
        fields={"share": Span(0.2, 0.6), "x": Span(0.01, 0.06), **FOR},
        places=("service",),
        variants=(Variant(("reset",)),),
    ),
    Kind(
        "garble",
        fields={"share": Span(0.2, 0.6), "x": Span(0.01, 0.04), **FOR},
        places=("service",),
        variants=(Variant(("extra", "unframed", "early", "extra late"), 0.8),),
    ),
    Kind(
        "srv_slow",
        fields={"share": Span(0.1, 0.2), "x": Span(2.0, 5.0), **FOR},
        places=("service", "zone"),
        variants=INSTANCES,
    ),
    Kind(
        "srv_grey",
        fields={"share": Span(0.05, 0.18), "x": Span(0.2, 0.6), **FOR},
        places=("service", "to_zone"),
        variants=(
            Variant(("errors", "shed", "busy", "hang", "reset", "mute", "slow"), 0.9),
            Variant(("one_zone",), 0.3),
            *INSTANCES,
        ),
    ),
    Kind(
        "srv_lying_health",
        fields={"share": Span(0.05, 0.15), **FOR},
        places=("service",),
        variants=(Variant(("errors", "hang", "reset", "bad"), 0.9),),
        only_if="health",
    ),
    Kind(
        "srv_flap",
        fields={"share": Span(0.05, 0.15), "gap_s": Span(0.6, 1.5), **FOR},
        places=("service",),
        only_if="health",
    ),
    Kind(
        "srv_cut",
        fields={"share": Span(0.1, 0.25), **FOR},
        optional={"x": Span(0.1, 0.5)},
        places=("service", "zone"),
        variants=(Variant(("fronts",)), Variant(("one_way",), 0.3), Variant(("reset",), 0.3), *INSTANCES),
    ),
    Kind(
        "replace_with_reuse",
        fields={"share": Span(0.05, 0.2)},
        places=("service",),
        variants=(Variant(("drain", "dark"), 0.7),),
    ),
    Kind(
        "scale_out",
        planned=True,
        fields={"share": Span(0.1, 0.4), "gap_s": Span(0.5, 3.0)},
        places=("service",),
    ),
    Kind(
        "scale_in",
        planned=True,
        fields={"share": Span(0.05, 0.2)},
        optional={"x": Span(1.0, 3.0)},
        places=("service", "zone"),
        variants=(Variant(("spot",)),),
    ),
    Kind(
        "idle_race",
        fields={"share": Span(0.2, 0.6), "x": Span(100.0, 600.0), **FOR},
        places=("service",),
        only_if="pool",
    ),
    Kind(
        "kv_slow",
        fields={"share": Span(0.1, 0.4), **FOR},
        optional={"x": Span(3.0, 12.0)},
        places=("service",),
    ),
    Kind("handle_short", fields={"share": Span(0.1, 0.4), **FOR}, places=("service",)),
)

MACHINE_KINDS = (
    Kind(
        "node_kill",
        fields={**FOR},
        optional={"share": Span(0.05, 0.25)},
        variants=(Variant(("power",)), *MACHINE),
        places=("zone",),
        on=("core", "front"),
    ),
    Kind(
        "node_freeze",
        fields={**FOR},
        optional={"share": Span(0.05, 0.2)},
        variants=MACHINE,
        places=("zone",),
        on=("core", "front"),
    ),
    Kind(
        "roll_term",
        planned=True,
        fields={"gap_s": Span(0.6, 1.6)},
        optional={"share": Span(0.2, 1.0), "x": Span(1, 2, whole=True)},
        variants=(Variant(("remove",), 0.3), *MACHINE, Variant(("busy",), 0.4)),
        on=("core", "front"),
    ),
    Kind(
        "herd_kill",
        fields={**FOR},
        optional={"share": Span(0.3, 0.7)},
        variants=(Variant(("power", "taken", "taken all"), 0.7), CHANGE_MEANWHILE, INSTANCES_LEAVE),
        on=("core", "front"),
    ),
    Kind(
        "replace_core",
        optional={"x": Span(0.5, 3.0)},
        variants=(Variant(("planned",)), Variant(("oldest", "leader"), 0.5)),
    ),
    Kind(
        "after_ack_kill",
        fields={**FOR},
        optional=COUNT,
        variants=(Variant(("kill", "timed", "taken", "taken gone"), 0.75),),
    ),
    Kind(
        "after_ack_wipe",
        fields={**FOR},
        optional=COUNT,
        variants=(Variant(("kill", "timed", "taken"), 0.4), OLDEST),
    ),
    Kind("disk_slow", fields={"x": Span(5.0, 40.0), **FOR}, optional=COUNT, variants=(AIM,)),
    Kind("disk_stall", fields={**FOR}, optional=COUNT, variants=(AIM,)),
    Kind("disk_full", fields={**FOR}, optional=COUNT, variants=(AIM,)),
    Kind(
        "core_cut",
        fields={**FOR},
        optional=COUNT,
        variants=(
            Variant(("all", "near")),
            Variant(("oldest",), 0.2),
            Variant(("one_way",), 0.3),
            Variant(("seeds", "both", "lure"), 0.5),
            *MACHINE,
            CUT,
        ),
    ),
    Kind(
        "node_cut",
        fields={**FOR},
        optional={"share": Span(0.05, 0.25)},
        variants=(Variant(("all", "servers")), *MACHINE, CUT),
        places=("zone",),
    ),
    Kind(
        "node_slow",
        fields={"share": Span(0.05, 0.2), "x": Span(2.0, 6.0), **FOR},
        variants=(AIM,),
        places=("zone",),
        on=("core", "front"),
    ),
    Kind(
        "clock_step",
        fields={"share": Span(0.1, 0.5), "x": Span(500.0, 5000.0), **FOR},
        variants=(Variant(("back", "ahead"), 0.8), AIM),
    ),
    Kind("hup", fields={"share": Span(0.1, 0.6), "gap_s": Span(0.2, 2.0)}, planned=True),
    Kind(
        "reset_conns",
        fields={"share": Span(0.05, 0.3), "x": Span(0.2, 1.0)},
        places=("zone",),
        on=("core", "front"),
    ),
    Kind("seed_turnover", planned=True),
    Kind("lossy", fields={"x": Span(0.01, 0.05), **FOR}, places=("zone",), only_named=True),
)

CONFIGURATION_KINDS = (
    Kind(
        "config_change",
        planned=True,
        variants=(Variant(("route", "weights", "timeout", "tenant", "quota", "idle"), 0.95),),
    ),
    Kind(
        "config_race",
        planned=True,
        fields={"gap_s": Span(0.4, 1.5)},
        optional={"count": Span(1, 4, whole=True)},
    ),
    Kind(
        "config_storm",
        planned=True,
        fields={"gap_s": Span(0.1, 0.6), "for_s": Span(2.0, 6.0)},
        only_named=True,
    ),
    Kind(
        "bad_config",
        planned=True,
        fields={"gap_s": Span(0.4, 1.5)},
        optional={"count": Span(1, 4, whole=True)},
        variants=(
            Variant(
                (
                    "cut_short",
                    "unknown_service",
                    "same_place",
                    "no_weight",
                    "no_timeout",
                    "old_version",
                    "same_version",
                    "stale_match",
                    "shared_key",
                ),
                0.9,
            ),
        ),
    ),
    Kind("ack_lost", fields={"x": Span(0.3, 0.9), "for_s": Span(3.0, 14.0)}),
)

CLIENT_KINDS = (
    Kind("burst", fields={"x": Span(1.2, 2.0), "for_s": Span(2.0, 10.0)}, places=("class", "zone")),
    Kind("retry_abuse", fields={"share": Span(0.05, 0.3), "x": Span(1, 3, whole=True), **FOR}),
    Kind("give_up", fields={"share": Span(0.05, 0.3), "x": Span(50.0, 400.0), **FOR}),
)

KINDS = INSTANCE_KINDS + MACHINE_KINDS + CONFIGURATION_KINDS + CLIENT_KINDS

CLOSINGS = (
    Closing("power_off_all"),
    Closing("kill_all"),
    Closing("wipe_after_ack", (Variant(("timed", "taken", "aimed"), 0.6), OLDEST)),
)
