"""Faults of the program, planted on purpose: a check that catches none of them proves nothing.

Each function plants one fault for the rest of a test.
"""

from stepstream.membership import record_precedence
from stepstream.membership.anti_entropy import AntiEntropy
from stepstream.membership.messages import MemberState
from stepstream.membership.record_merge import RecordMerger


def old_records_win(monkeypatch):
    monkeypatch.setattr(
        record_precedence, "member_precedence", lambda record: (record.incarnation, record.state)
    )


def nobody_refutes(monkeypatch):
    monkeypatch.setattr(RecordMerger, "merge_local", lambda *_: None)


def dead_members_are_not_contacted(monkeypatch):
    monkeypatch.setattr(AntiEntropy, "reconnect", lambda *_: None)
    monkeypatch.setattr(RecordMerger, "notify_dead", lambda *_: None)


def dead_members_are_forgotten(monkeypatch):
    merge = RecordMerger.merge

    def forgetful_merge(self, record, reported_by):
        is_admitted = merge(self, record, reported_by)
        member = self.members.by_name.get(record.name)
        if member is not None and member.record.state is MemberState.DEAD:
            del self.members.by_name[record.name]
        return is_admitted

    monkeypatch.setattr(RecordMerger, "merge", forgetful_merge)
