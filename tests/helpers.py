"""Small builders shared by the tests."""

from stepstream import interface as i
from stepstream.balance import Balancer

SAFE = i.JobClass(goal_us=400_000, deadline_us=5_000_000, effect=i.Effect.SAFE)
UNSAFE = i.JobClass(goal_us=400_000, deadline_us=5_000_000, effect=i.Effect.UNSAFE)
KEYED_ZONE = i.JobClass(
    goal_us=4_000_000,
    deadline_us=5_000_000,
    effect=i.Effect.KEYED,
    key_scope="zone",
    window_us=2_000_000,
)
KEYED_ALL = i.JobClass(
    goal_us=4_000_000,
    deadline_us=5_000_000,
    effect=i.Effect.KEYED,
    key_scope="all",
    window_us=2_000_000,
)
DEAR = i.JobClass(goal_us=400_000, deadline_us=5_000_000, effect=i.Effect.SAFE, worth=10.0)


class Bench:
    """One balancer, its clock, and short words for telling it things."""

    def __init__(self, *classes, workers=4, entries=None, seed=1, **settings):
        self.settings = i.Settings(classes=classes or (SAFE,), **{"attempt_limit": 5, **settings})
        self.balancer = Balancer(self.settings, seed, 1_000_000)
        self.now = 1_000_000
        self.count = 0
        self.log: list[i.Action] = []
        if entries is None:
            entries = [entry(k) for k in range(workers)]
        self.start_actions = self.tell(i.WorkerList(i.ListKind.PERSISTED, tuple(entries)))

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
        return name, self.tell(i.Job(name, job_class, budget, tenant, **more))

    def ended(self, name, worker, result, attempt=0, job_ended=None, report=None):
        over = result is i.Result.OK if job_ended is None else job_ended
        return self.tell(i.AttemptEnded(name, attempt, worker, result, 1000, over, report))

    def next_period(self):
        """Goes to the end of the running period, whose first one has a random length."""
        self.tick(
            max(a.at_us for a in self.log if isinstance(a, i.WakeMe) and a.token == 0) - self.now
        )
        return self

    def tick(self, us=500_000):
        """Lets a period pass and rings every timer that is due by then."""
        self.now += us
        due = [a for a in self.log if isinstance(a, i.WakeMe) and a.at_us <= self.now]
        self.log = [a for a in self.log if not (isinstance(a, i.WakeMe) and a.at_us <= self.now)]
        return self.tell(*[i.Timer(a.token) for a in due])


def entry(k, **more):
    return i.WorkerEntry(f"10.0.0.{k}:5000", **more)


def pushes(actions):
    return [a for a in actions if isinstance(a, i.Push)]


def finals(actions):
    return [a for a in actions if isinstance(a, i.Refuse | i.Fail)]
