"""Every decision on workers, retries and rejections, after DynamicPart (Andreolini et al.).

Priority jobs go to the High Set, which borrows workers while its busy slots exceed its caps.
Ordinary jobs go to the Low Set and are rejected while it is over its caps. See docs/design.md.

Each module holds the rules of its name, as functions over the records of `stepstream.model.state`.
They touch neither clock nor socket. Times are microseconds, loads are slots.
"""
