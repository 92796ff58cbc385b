"""The kinds of faults that a test day may have, as data: fields with their ranges, variants and targets.

Names of kinds, fields and words of variants are those of the bench's site files, which fix them.  Units too:
seconds in ``for_s`` and ``gap_s``, a fraction of 1 in ``share``.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Span:
    """A range from which a number is drawn, an integer if `integer`."""

    least: float
    most: float
    integer: bool = False


@dataclass(frozen=True, slots=True)
class Variant:
    """Words of ``how`` of which an entry has at most one; `chance` is the probability that it has one."""

    words: tuple[str, ...]
    chance: float = 0.5


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of fault.

    `fields` are always given, `optional` ones by chance.  `targets` are the fields that name a target:
    ``zone``, ``to_zone``, ``region``, ``service``, ``class``; `on` are the machine classes that ``on`` may
    name.  A kind with `only_if` occurs on deployments that have this contract, one with `only_named` on those
    whose site file names it.
    """

    name: str
    planned: bool = False
    fields: dict[str, Span] = field(default_factory=dict)
    optional: dict[str, Span] = field(default_factory=dict)
    variants: tuple[Variant, ...] = ()
    targets: tuple[str, ...] = ()
    on: tuple[str, ...] = ()
    only_if: str = ""
    only_named: bool = False


@dataclass(frozen=True, slots=True)
class Closing:
    """A disaster at the day's end."""

    name: str
    variants: tuple[Variant, ...] = ()


DURATION = {"for_s": Span(0.5, 8.0)}
COUNT = {"count": Span(1, 2, integer=True)}

VICTIM = Variant(("turn", "leader", "reader", "seed"))
CHANGE_MEANWHILE = Variant(("meet", "race"))
UNTIL_ANSWERED = Variant(("hard",), 0.3)
INSTANCES_LEAVE = Variant(("drain",), 0.3)
MACHINE = (VICTIM, CHANGE_MEANWHILE, UNTIL_ANSWERED, INSTANCES_LEAVE)
CUT_CONNECTIONS = Variant(("reset", "refuse"), 0.3)
ACROSS = Variant(("across",), 0.2)
ALL = Variant(("all",), 0.1)
INSTANCES = (ACROSS, ALL)
OLDEST = Variant(("oldest",), 0.4)

INSTANCE_KINDS = (
    Kind(
        "srv_crash",
        fields={"share": Span(0.05, 0.25), **DURATION},
        targets=("service", "zone"),
        variants=(Variant(("dark", "gone")), *INSTANCES),
    ),
    Kind(
        "release",
        planned=True,
        fields={"share": Span(0.2, 0.6), "gap_s": Span(0.5, 1.5)},
        optional={"x": Span(1, 4, integer=True)},
        targets=("service", "zone"),
    ),
    Kind(
        "answer_lost",
        fields={"share": Span(0.2, 0.6), "x": Span(0.01, 0.06), **DURATION},
        targets=("service",),
        variants=(Variant(("reset",)),),
    ),
    Kind(
        "garble",
        fields={"share": Span(0.2, 0.6), "x": Span(0.01, 0.04), **DURATION},
        targets=("service",),
        variants=(Variant(("extra", "unframed", "early", "extra late"), 0.8),),
    ),
    Kind(
        "srv_slow",
        fields={"share": Span(0.1, 0.2), "x": Span(2.0, 5.0), **DURATION},
        targets=("service", "zone"),
        variants=INSTANCES,
    ),
    Kind(
        "srv_grey",
        fields={"share": Span(0.05, 0.18), "x": Span(0.2, 0.6), **DURATION},
        targets=("service", "to_zone"),
        variants=(
            Variant(("errors", "shed", "busy", "hang", "reset", "mute", "slow"), 0.9),
            Variant(("one_zone",), 0.3),
            *INSTANCES,
        ),
    ),
    Kind(
        "srv_lying_health",
        fields={"share": Span(0.05, 0.15), **DURATION},
        targets=("service",),
        variants=(Variant(("errors", "hang", "reset", "bad"), 0.9),),
        only_if="health",
    ),
    Kind(
        "srv_flap",
        fields={"share": Span(0.05, 0.15), "gap_s": Span(0.6, 1.5), **DURATION},
        targets=("service",),
        only_if="health",
    ),
    Kind(
        "srv_cut",
        fields={"share": Span(0.1, 0.25), **DURATION},
        optional={"x": Span(0.1, 0.5)},
        targets=("service", "zone"),
        variants=(Variant(("fronts",)), Variant(("one_way",), 0.3), Variant(("reset",), 0.3), *INSTANCES),
    ),
    Kind(
        "replace_with_reuse",
        fields={"share": Span(0.05, 0.2)},
        targets=("service",),
        variants=(Variant(("drain", "dark"), 0.7),),
    ),
    Kind(
        "scale_out",
        planned=True,
        fields={"share": Span(0.1, 0.4), "gap_s": Span(0.5, 3.0)},
        targets=("service",),
    ),
    Kind(
        "scale_in",
        planned=True,
        fields={"share": Span(0.05, 0.2)},
        optional={"x": Span(1.0, 3.0)},
        targets=("service", "zone"),
        variants=(Variant(("spot",)),),
    ),
    Kind(
        "idle_race",
        fields={"share": Span(0.2, 0.6), "x": Span(100.0, 600.0), **DURATION},
        targets=("service",),
        only_if="pool",
    ),
    Kind(
        "kv_slow",
        fields={"share": Span(0.1, 0.4), **DURATION},
        optional={"x": Span(3.0, 12.0)},
        targets=("service",),
    ),
    Kind("handle_short", fields={"share": Span(0.1, 0.4), **DURATION}, targets=("service",)),
)

MACHINE_KINDS = (
    Kind(
        "node_kill",
        fields={**DURATION},
        optional={"share": Span(0.05, 0.25)},
        variants=(Variant(("power",)), *MACHINE),
        targets=("zone",),
        on=("core", "front"),
    ),
    Kind(
        "node_freeze",
        fields={**DURATION},
        optional={"share": Span(0.05, 0.2)},
        variants=MACHINE,
        targets=("zone",),
        on=("core", "front"),
    ),
    Kind(
        "roll_term",
        planned=True,
        fields={"gap_s": Span(0.6, 1.6)},
        optional={"share": Span(0.2, 1.0), "x": Span(1, 2, integer=True)},
        variants=(Variant(("remove",), 0.3), *MACHINE, Variant(("busy",), 0.4)),
        on=("core", "front"),
    ),
    Kind(
        "herd_kill",
        fields={**DURATION},
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
        fields={**DURATION},
        optional=COUNT,
        variants=(Variant(("kill", "timed", "taken", "taken gone"), 0.75),),
    ),
    Kind(
        "after_ack_wipe",
        fields={**DURATION},
        optional=COUNT,
        variants=(Variant(("kill", "timed", "taken"), 0.4), OLDEST),
    ),
    Kind("disk_slow", fields={"x": Span(5.0, 40.0), **DURATION}, optional=COUNT, variants=(VICTIM,)),
    Kind("disk_stall", fields={**DURATION}, optional=COUNT, variants=(VICTIM,)),
    Kind("disk_full", fields={**DURATION}, optional=COUNT, variants=(VICTIM,)),
    Kind(
        "core_cut",
        fields={**DURATION},
        optional=COUNT,
        variants=(
            Variant(("all", "near")),
            Variant(("oldest",), 0.2),
            Variant(("one_way",), 0.3),
            Variant(("seeds", "both", "lure"), 0.5),
            *MACHINE,
            CUT_CONNECTIONS,
        ),
    ),
    Kind(
        "node_cut",
        fields={**DURATION},
        optional={"share": Span(0.05, 0.25)},
        variants=(Variant(("all", "servers")), *MACHINE, CUT_CONNECTIONS),
        targets=("zone",),
    ),
    Kind(
        "node_slow",
        fields={"share": Span(0.05, 0.2), "x": Span(2.0, 6.0), **DURATION},
        variants=(VICTIM,),
        targets=("zone",),
        on=("core", "front"),
    ),
    Kind(
        "clock_step",
        fields={"share": Span(0.1, 0.5), "x": Span(500.0, 5000.0), **DURATION},
        variants=(Variant(("back", "ahead"), 0.8), VICTIM),
    ),
    Kind("hup", fields={"share": Span(0.1, 0.6), "gap_s": Span(0.2, 2.0)}, planned=True),
    Kind(
        "reset_conns",
        fields={"share": Span(0.05, 0.3), "x": Span(0.2, 1.0)},
        targets=("zone",),
        on=("core", "front"),
    ),
    Kind("seed_turnover", planned=True),
    Kind("lossy", fields={"x": Span(0.01, 0.05), **DURATION}, targets=("zone",), only_named=True),
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
        optional={"count": Span(1, 4, integer=True)},
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
        optional={"count": Span(1, 4, integer=True)},
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
    Kind("burst", fields={"x": Span(1.2, 2.0), "for_s": Span(2.0, 10.0)}, targets=("class", "zone")),
    Kind("retry_abuse", fields={"share": Span(0.05, 0.3), "x": Span(1, 3, integer=True), **DURATION}),
    Kind("give_up", fields={"share": Span(0.05, 0.3), "x": Span(50.0, 400.0), **DURATION}),
)

KINDS = INSTANCE_KINDS + MACHINE_KINDS + CONFIGURATION_KINDS + CLIENT_KINDS

CLOSINGS = (
    Closing("power_off_all"),
    Closing("kill_all"),
    Closing("wipe_after_ack", (Variant(("timed", "taken", "aimed"), 0.6), OLDEST)),
)
