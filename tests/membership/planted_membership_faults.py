"""Deliberate faults of the membership code, by which tests show that the checks detect faults.

Each function replaces one part of the program with a faulty one for the rest of a test.
"""

from stepstream.membership import record_precedence
from stepstream.membership.anti_entropy import AntiEntropy
from stepstream.membership.messages import MemberState
from stepstream.membership.record_merge import RecordMerger


def precedence_ignores_process_starts(monkeypatch):
    monkeypatch.setattr(
        record_precedence, "member_precedence", lambda record: (record.incarnation, record.state)
    )


def false_claims_are_not_refuted(monkeypatch):
    monkeypatch.setattr(RecordMerger, "merge_local", lambda *_: None)


def dead_members_are_not_contacted(monkeypatch):
    monkeypatch.setattr(AntiEntropy, "reconnect", lambda *_: None)
    monkeypatch.setattr(RecordMerger, "notify_dead", lambda *_: None)


def dead_members_are_forgotten(monkeypatch):
    merge = RecordMerger.merge

    def merge_and_forget_dead(self, record, reported_by):
        is_admitted = merge(self, record, reported_by)
        member = self.members.by_name.get(record.name)
        if member is not None and member.record.state is MemberState.DEAD:
            del self.members.by_name[record.name]
        return is_admitted

    monkeypatch.setattr(RecordMerger, "merge", merge_and_forget_dead)
