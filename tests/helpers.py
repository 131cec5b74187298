"""Small builders shared by the tests."""

from stepstream.model.actions import Fail, PolicyAction, Reject, SetTimer, StartAttempt, TimerToken
from stepstream.model.endpoints import Endpoint, EndpointList, EndpointListKind
from stepstream.model.events import AttemptEnded, AttemptResult, JobSubmitted, TimerFired
from stepstream.model.settings import Effect, JobClass, KeyScope, Settings
from stepstream.policy.load_balancer import LoadBalancer

SAFE = JobClass(latency_objective_us=400_000, deadline_us=5_000_000, effect=Effect.IDEMPOTENT)
UNSAFE = JobClass(latency_objective_us=400_000, deadline_us=5_000_000, effect=Effect.NOT_IDEMPOTENT)
KEYED_ZONE = JobClass(
    latency_objective_us=4_000_000,
    deadline_us=5_000_000,
    effect=Effect.IDEMPOTENT_WITH_KEY,
    key_scope=KeyScope.ZONE,
    idempotency_window_us=2_000_000,
)
KEYED_ALL = JobClass(
    latency_objective_us=4_000_000,
    deadline_us=5_000_000,
    effect=Effect.IDEMPOTENT_WITH_KEY,
    key_scope=KeyScope.ALL,
    idempotency_window_us=2_000_000,
)
DEAR = JobClass(
    latency_objective_us=400_000,
    deadline_us=5_000_000,
    effect=Effect.IDEMPOTENT,
    priority_weight=10.0,
)


class Bench:
    """One balancer, its clock, and short words for telling it things."""

    def __init__(self, *classes, workers=4, entries=None, seed=1, **settings):
        self.settings = Settings(classes=classes or (SAFE,), **{"attempt_limit": 5, **settings})
        self.balancer = LoadBalancer(self.settings, seed, 1_000_000)
        self.now = 1_000_000
        self.count = 0
        self.log: list[PolicyAction] = []
        if entries is None:
            entries = [entry(k) for k in range(workers)]
        self.start_actions = self.tell(EndpointList(EndpointListKind.PERSISTED, tuple(entries)))

    def tell(self, *events):
        actions = self.balancer.handle(self.now, list(events))
        self.log += actions
        return actions

    def later(self, us):
        self.now += us
        return self

    def job(self, job_class=0, tenant=0, budget_us=None, **more):
        self.count += 1
        name = f"{self.count:016x}"
        budget = self.settings.classes[job_class].deadline_us if budget_us is None else budget_us
        return name, self.tell(JobSubmitted(name, job_class, budget, tenant, **more))

    def ended(self, name, worker, result, attempt=0, job_ended=None, report=None):
        over = result is AttemptResult.OK if job_ended is None else job_ended
        return self.tell(AttemptEnded(name, attempt, worker, result, 1000, over, report))

    def next_period(self):
        """Goes to the end of the running period, whose first one has a random length."""
        self.tick(
            max(
                a.at_us
                for a in self.log
                if isinstance(a, SetTimer) and a.token is TimerToken.PERIODIC_TASKS
            )
            - self.now
        )
        return self

    def tick(self, us=500_000):
        """Lets a period pass and rings every timer that is due by then."""
        self.now += us
        due = [a for a in self.log if isinstance(a, SetTimer) and a.at_us <= self.now]
        self.log = [a for a in self.log if not (isinstance(a, SetTimer) and a.at_us <= self.now)]
        return self.tell(*[TimerFired(a.token) for a in due])


def entry(k, **more):
    return Endpoint(f"10.0.0.{k}:5000", **more)


def pushes(actions):
    return [a for a in actions if isinstance(a, StartAttempt)]


def finals(actions):
    return [a for a in actions if isinstance(a, Reject | Fail)]
