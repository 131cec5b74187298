"""The scenarios of the recorded streams: settings in the wire's dotted keys, and what happens."""

from golden.decision_world import ALL_INCIDENTS, Scenario

MS_US = 1_000

DEFAULTS = {
    "discovery": "automatic",
    "deductions.cross_zone": "0.0",
    "extra.report_x0": "free_slots",
    "extra.tells_start": "false",
    "fleet_size": "2",
    "kinds": "new-blade,old-blade",
    "limits.cancelling": "false",
    "limits.max_retry_after_us": "2000000",
    "limits.may_duplicate": "false",
    "limits.probing": "false",
    "limits.retry_after": "false",
    "limits.try_limit": "4",
    "load_report.columns": "",
    "load_report.how": "none",
    "over_share_worth": "1.0",
    "projects.count": "0",
    "quantum_us": "1000",
    "safety.cold_share": "0.3",
    "safety.fall_multiple": "4.0",
    "safety.must_ask_in_us": "10000000",
    "safety.tip_after_us": "500000",
    "safety.warm_within_us": "2000000",
    "zone": "0",
    "zones": "north,south,west",
}
MUST_ASK = {"discovery": "subscribe"}
BY_ANSWERS = {"load_report.how": "answers", "load_report.columns": "queue,x0"}
BY_PROBES = {
    "load_report.how": "probe",
    "load_report.columns": "queue,x0",
    "limits.probing": "true",
}
TELLS_START = {"extra.tells_start": "true", "limits.cancelling": "true"}
COPIES = {**TELLS_START, "limits.may_duplicate": "true"}
ADVICE = {"limits.retry_after": "true"}


def job_class(name: str, effect: str, goal_ms: int = 400, **more: object) -> dict[str, object]:
    """One class by the keys of the wire's `services`; `kind` is its machine kind."""
    return {
        "name": name,
        "effect": effect,
        "goal_time_us": goal_ms * MS_US,
        "deadline_us": 1_500 * MS_US,
        "worth": 1.0,
        "late_worth": 0.0,
        "key_scope": "cell",
        "window_us": 0,
        "kind": -1,
        **more,
    }


def keyed(name: str, scope: str, window_ms: int, **more: object) -> dict[str, object]:
    """A class whose repeats are dropped inside a scope, for a while."""
    return job_class(name, "token", key_scope=scope, window_us=window_ms * MS_US, **more)


def settings(
    classes: list[dict],
    tenants: dict[str, float] | None = None,
    **groups: dict[str, str],
) -> dict[str, str]:
    """Dotted keys of these classes, of tenants with their quotas, and of further groups of keys."""
    pairs = {**DEFAULTS, "services.count": str(len(classes))}
    pairs["extra.class_kind"] = ",".join(str(kind["kind"]) for kind in classes)
    for place, kind in enumerate(classes):
        for key in (key for key in kind if key != "kind"):
            pairs[f"services.{place}.{key}"] = str(kind[key])
    pairs["projects.count"] = str(len(tenants or {}))
    for place, (name, quota) in enumerate((tenants or {}).items()):
        pairs |= {f"projects.{place}.name": name, f"projects.{place}.quota_per_s": str(quota)}
    for group in groups.values():
        pairs |= group
    return pairs


PURE = job_class("pure", "pure")
DEAR = job_class("dear", "pure", goal_ms=200, worth=5.0, late_worth=0.3)
ONCE = job_class("once", "side_effect", goal_ms=500, worth=3.0)
ANY_KEYED = keyed("keyed-all", "all", 800)
ZONE_KEYED = keyed("keyed-zone", "zone", 300, worth=2.0)
CELL_KEYED = keyed("keyed-cell", "cell", 90, goal_ms=300, worth=4.0)
SHORT_KEYED = keyed("keyed-short", "all", 20)
LONG_US = 5_000 * MS_US
PATIENT = [
    job_class("patient", "pure", deadline_us=LONG_US),
    job_class("patient-once", "side_effect", deadline_us=LONG_US),
]
PATIENT_KEYED = keyed("patient-keyed", "all", 4_000, deadline_us=LONG_US)
MIXED = [PURE, DEAR, ONCE, ANY_KEYED, ZONE_KEYED, CELL_KEYED]
TENANTS = {"tenant0": 20.0, "tenant1": 15.0, "tenant2": 5.0, "tenant3": 0.0}


def fleet(size: int) -> dict[str, str]:
    return {"fleet_size": str(size)}


def tries(limit: int) -> dict[str, str]:
    return {"limits.try_limit": str(limit)}


PAST_SHARE = {"over_share_worth": "0.2"}
NEWCOMERS = {"tenant7": 12.0, "tenant1": 0.5, "tenant0": 6.0}
MIDDLE = job_class("middle", "pure", worth=2.0)
TOP = job_class("top", "pure", worth=12.0)
SOON = job_class("soon", "pure", goal_ms=300)
HUNG = job_class("hung", "pure", goal_ms=2_000, deadline_us=4_000 * MS_US)
HUNG_ONCE = job_class("hung-once", "side_effect", goal_ms=2_000, deadline_us=4_000 * MS_US)
SICKNESS = ("sicken", "sicken", "unreachable", "heal", "stray")
RELOADED = settings(
    [CELL_KEYED, job_class("new", "pure", worth=2.0), PURE, ONCE],
    {"tenant2": 9.0, "tenant9": 30.0, "tenant0": 3.0},
    asks=ADVICE,
    starts=COPIES,
    size=fleet(40),
    worth={"over_share_worth": "0.2"},
)

SCENARIOS = [
    Scenario(
        "keyed-scopes-with-copies",
        settings([ANY_KEYED, ZONE_KEYED, CELL_KEYED, SHORT_KEYED], starts=COPIES),
        seed=1,
        error_part=0.15,
        workers=12,
        jobs_per_s=90,
        keyless_part=0.0,
        incidents=("sicken", "lose", "heal", "drain", "stray"),
    ),
    Scenario(
        "keyed-scopes-by-answers",
        settings([CELL_KEYED, SHORT_KEYED, ZONE_KEYED], how=BY_ANSWERS, size=fleet(9)),
        seed=2,
        error_part=0.2,
        workers=9,
        jobs_per_s=80,
        hot_key_part=0.8,
        incidents=SICKNESS,
    ),
    Scenario(
        "hot-keys-on-a-wide-fleet",
        settings([PURE, ANY_KEYED], starts=TELLS_START, size=fleet(1)),
        seed=3,
        seconds=7,
        workers=40,
        jobs_per_s=220,
        keys=300,
        keyless_part=0.0,
        work_us=90_000,
        hot_key_part=0.6,
    ),
    Scenario(
        "unsafe-by-probes",
        settings([ONCE, PURE], how=BY_PROBES, advice=ADVICE, size=fleet(1)),
        seed=4,
        jobs_per_s=90,
        queue_limit=2,
        incidents=("sicken", "unreachable", "heal", "restart", "surge", "stray"),
    ),
    Scenario(
        "asked-lists-that-fail",
        settings(MIXED, asks=MUST_ASK, size=fleet(4)),
        seed=5,
        seconds=14,
        list_failures=4,
        list_failure_part=0.4,
        jobs_per_s=30,
        incidents=("watch_breaks", "complete_list", "persisted_list", "remove", "add", "drain"),
    ),
    Scenario(
        "asked-lists-of-a-large-fleet",
        settings(
            MIXED,
            asks=MUST_ASK,
            size=fleet(200),
            soon={"safety.must_ask_in_us": "6000000"},
        ),
        seed=6,
        seconds=14,
        list_failures=3,
        list_failure_part=0.3,
        empty_start=True,
        jobs_per_s=12,
        incidents=("watch_breaks", "complete_list", "remove", "add"),
    ),
    Scenario(
        "asked-lists-first-call-turned-away",
        settings(MIXED, asks=MUST_ASK, size=fleet(1), soon={"safety.must_ask_in_us": "700000"}),
        seed=7,
        list_failures=6,
        empty_start=True,
        jobs_per_s=20,
        incidents=("watch_breaks", "persisted_list", "restart"),
    ),
    Scenario(
        "reloads-with-jobs-open",
        settings(MIXED, TENANTS, how=BY_ANSWERS, starts=TELLS_START),
        seed=8,
        seconds=12,
        jobs_per_s=100,
        reloads=(
            RELOADED,
            settings([ONCE], size=fleet(9), how=BY_PROBES),
            settings([ONCE, *MIXED[::-1][:3]], TENANTS, starts=COPIES, size=fleet(3)),
            settings(
                [*MIXED, SHORT_KEYED],
                {"tenant1": 4.0, "tenant0": 4.0},
                how=BY_ANSWERS,
                starts=COPIES,
            ),
        ),
        incidents=ALL_INCIDENTS,
    ),
    Scenario(
        "many-dispatchers-told-starts",
        settings([PURE, DEAR, ONCE], starts=COPIES, size=fleet(40)),
        seed=9,
        seconds=14,
        workers=20,
        work_us=120_000,
        worker_slots=1.0,
        jobs_per_s=110,
        incidents=("surge", "surge", "slow", "heal", "restart"),
    ),
    Scenario(
        "nine-dispatchers-by-answers",
        settings([PURE, DEAR, ANY_KEYED], TENANTS, how=BY_ANSWERS, starts=COPIES, size=fleet(9)),
        seed=10,
        seconds=9,
        workers=16,
        worker_slots=1.0,
        jobs_per_s=130,
        work_us=110_000,
        incidents=("surge", "lose", "heal", "sicken", "stray"),
    ),
    Scenario(
        "lost-jobs-by-answers",
        settings([*PATIENT, PATIENT_KEYED], how=BY_ANSWERS, starts=TELLS_START),
        seed=11,
        seconds=14,
        workers=5,
        jobs_per_s=70,
        work_us=150_000,
        incidents=("lose", "lose", "lose", "heal"),
        worker_slots=4.0,
        silent_start_part=0.0,
    ),
    Scenario(
        "lost-jobs-by-probes",
        settings(PATIENT, how=BY_PROBES, starts=COPIES, size=fleet(8)),
        seed=12,
        seconds=20,
        workers=5,
        jobs_per_s=40,
        incidents=("lose", "lose", "lose", "heal"),
        incidents_per_s=0.5,
        worker_slots=4.0,
    ),
    Scenario(
        "ejected-classes-over-reloads",
        settings([*PATIENT, PATIENT_KEYED], how=BY_ANSWERS, starts=TELLS_START),
        seed=34,
        seconds=12,
        workers=5,
        jobs_per_s=70,
        work_us=150_000,
        reloads=(
            settings([PATIENT_KEYED, *PATIENT], how=BY_ANSWERS, starts=TELLS_START),
            settings(PATIENT, how=BY_ANSWERS, starts=TELLS_START),
            settings([*PATIENT[::-1], PATIENT_KEYED], how=BY_ANSWERS, starts=TELLS_START),
        ),
        incidents=("lose", "lose", "lose", "heal"),
        worker_slots=4.0,
        silent_start_part=0.0,
    ),
    Scenario(
        "more-keys-than-open-requests",
        settings([PURE, ANY_KEYED], starts=TELLS_START, open={"limits.max_open": "20"}),
        seed=35,
        seconds=3,
        workers=10,
        jobs_per_s=100,
        keys=60,
        keyless_part=0.1,
    ),
    Scenario(
        "cold-workers-in-bursts",
        settings([PURE, DEAR], size=fleet(1), span={"safety.tip_after_us": "2000000"}),
        seed=13,
        cold_part=0.5,
        jobs_per_s=120,
        incidents=("restart", "restart", "add", "remove"),
    ),
    Scenario(
        "cold-workers-by-chance",
        settings(
            [PURE, CELL_KEYED],
            starts=TELLS_START,
            size=fleet(40),
            cold={"safety.tip_after_us": "150000"},
        ),
        seed=14,
        cold_part=0.4,
        workers=24,
        jobs_per_s=50,
        incidents=("restart", "restart", "add", "remove"),
        incidents_per_s=3,
    ),
    Scenario(
        "cold-workers-that-get-nothing",
        settings([PURE, ONCE], cold={"safety.fall_multiple": "0.0"}),
        seed=15,
        cold_part=0.5,
        incidents=("restart", "add", "remove"),
    ),
    Scenario(
        "cold-workers-without-share",
        settings([PURE, ONCE], how=BY_ANSWERS, cold={"safety.cold_share": "0.0"}),
        seed=16,
        cold_part=1.0,
        incidents=("restart", "add", "remove"),
    ),
    Scenario(
        "tenants-past-their-quota",
        settings(
            [PURE, DEAR, ONCE],
            TENANTS,
            advice=ADVICE,
            worth={"over_share_worth": "0.1"},
        ),
        seed=17,
        jobs_per_s=130,
        work_us=90_000,
        queue_limit=2,
        retry_part=0.3,
        incidents=("surge", "heal", "slow"),
    ),
    Scenario(
        "tenants-past-their-quota-by-answers",
        settings(
            [PURE, DEAR],
            TENANTS,
            how=BY_ANSWERS,
            advice=ADVICE,
            worth={"over_share_worth": "0.3"},
            size=fleet(12),
        ),
        seed=18,
        jobs_per_s=120,
        work_us=90_000,
        retry_part=0.3,
        incidents=("surge", "heal", "slow"),
    ),
    Scenario(
        "price-of-crossing-zones",
        settings(
            [PURE, DEAR, ZONE_KEYED],
            how=BY_PROBES,
            price={"deductions.cross_zone": "0.03", "zone": "1"},
        ),
        seed=19,
        zones=3,
        workers=15,
        cold_part=0.2,
        jobs_per_s=120,
        incidents=("restart", "surge", "reweigh"),
    ),
    Scenario(
        "workers-that-name-what-they-run",
        settings(
            [
                PURE,
                job_class("old-only", "pure", kind=1),
                job_class("new-only", "side_effect", kind=0),
            ],
            TENANTS,
            starts=COPIES,
        ),
        seed=20,
        names_runs=True,
        workers=10,
        incidents=("add", "remove", "drain", "reweigh"),
    ),
    Scenario(
        "outliers-on-probation",
        settings([PURE, DEAR, ONCE], starts=TELLS_START),
        seed=21,
        seconds=16,
        workers=12,
        work_us=40_000,
        jobs_per_s=110,
        silent_start_part=0.0,
        incidents=("slow", "slow", "sicken", "unreachable", "heal"),
        incidents_per_s=0.8,
    ),
    Scenario(
        "more-than-64-workers",
        settings([PURE, DEAR, CELL_KEYED], how=BY_ANSWERS, size=fleet(3)),
        seed=22,
        seconds=3,
        workers=150,
        zones=3,
        cells=20,
        jobs_per_s=300,
        keys=200,
        incidents=("reweigh", "restart", "drain"),
    ),
    Scenario(
        "jobs-of-many-slots",
        settings([PURE, DEAR, ONCE], how=BY_ANSWERS, starts=TELLS_START, size=fleet(1)),
        seed=23,
        job_slots=(0.5, 1.0, 2.0, 3.5),
        worker_slots=4.0,
        workers=5,
        jobs_per_s=70,
        incidents=("surge", "stray", "restart"),
    ),
    Scenario(
        "overload-without-reports",
        settings([PURE, DEAR, ANY_KEYED], advice=ADVICE, size=fleet(8)),
        seed=24,
        workers=4,
        queue_limit=1,
        jobs_per_s=120,
        incidents=("surge", "add", "remove"),
    ),
    Scenario(
        "one-worker-and-none",
        settings([PURE, ONCE], how=BY_PROBES, starts=COPIES),
        seed=25,
        workers=1,
        jobs_per_s=25,
        incidents=("drain", "restart", "add", "remove", "complete_list"),
        incidents_per_s=2,
    ),
    Scenario(
        "dear-ordinary-jobs-of-many-dispatchers",
        settings([PURE, MIDDLE, TOP], starts=COPIES, size=fleet(12), tries=tries(3)),
        seed=26,
        seconds=16,
        workers=10,
        worker_slots=1.0,
        work_us=100_000,
        jobs_per_s=100,
        silent_start_part=0.0,
        incidents=("surge", "surge", "slow", "heal"),
    ),
    Scenario(
        "reloads-of-tenants",
        settings([PURE, DEAR], TENANTS, worth=PAST_SHARE, size=fleet(9), how=BY_ANSWERS),
        seed=27,
        seconds=15,
        jobs_per_s=110,
        reloads=(
            settings([DEAR, PURE], NEWCOMERS, worth=PAST_SHARE, size=fleet(8), how=BY_ANSWERS),
            settings([DEAR, MIDDLE], TENANTS, worth=PAST_SHARE, size=fleet(7), starts=TELLS_START),
            settings([PURE], NEWCOMERS, worth=PAST_SHARE, size=fleet(9), starts=TELLS_START),
            settings([PURE, TOP], NEWCOMERS, worth=PAST_SHARE, size=fleet(8), starts=TELLS_START),
        ),
        incidents=("surge", "restart"),
    ),
    Scenario(
        "workers-that-hang",
        settings([HUNG, HUNG_ONCE], tries=tries(2)),
        seed=28,
        seconds=30,
        workers=4,
        jobs_per_s=30,
        work_us=50_000,
        queue_limit=40,
        incidents=("hang", "heal", "hang"),
        incidents_per_s=0.15,
    ),
    Scenario(
        "exactly-64-workers",
        settings([PURE, ANY_KEYED], how=BY_PROBES, tries=tries(6)),
        seed=29,
        seconds=2,
        workers=64,
        jobs_per_s=200,
        incidents=("reweigh",),
    ),
    Scenario(
        "marked-retries-without-advice",
        settings([PURE, DEAR, SOON], starts=TELLS_START, tries=tries(3)),
        seed=30,
        queue_limit=1,
        jobs_per_s=150,
        retry_part=0.5,
        incidents=("surge", "heal", "slow"),
    ),
    Scenario(
        "marked-retries-by-short-advice",
        settings([PURE, DEAR, SOON], advice=ADVICE, pause={"limits.max_retry_after_us": "300000"}),
        seed=31,
        queue_limit=1,
        jobs_per_s=150,
        retry_part=0.5,
        incidents=("surge", "heal", "slow"),
    ),
    Scenario(
        "few-jobs-and-probes",
        settings([PURE, ONCE], how=BY_PROBES, size=fleet(40), tries=tries(5)),
        seed=32,
        seconds=12,
        workers=20,
        jobs_per_s=2,
        incidents=("lose", "unreachable", "restart"),
    ),
    Scenario(
        "full-workers-and-few-attempts",
        settings([PURE, DEAR, ONCE, ANY_KEYED], how=BY_ANSWERS, tries=tries(3)),
        seed=33,
        workers=5,
        worker_slots=1.0,
        queue_limit=1,
        jobs_per_s=90,
        incidents=("surge", "add", "remove"),
    ),
]
