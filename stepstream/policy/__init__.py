"""Every decision on workers, retries and rejections, after DynamicPart (Andreolini et al.).

Priority jobs go to the High Set, which borrows workers while its busy slots exceed its caps;
ordinary jobs go to the Low Set and are rejected while it is over its caps. See docs/design.md. The
modules are functions over `stepstream.model.state`; they touch neither clock nor socket.
"""
