"""Every decision on workers, retries and rejections, after DynamicPart (Andreolini et al.).

Priority jobs go to the High Set, which borrows workers while its busy slots exceed its caps.
Ordinary jobs go to the Low Set and are rejected while it is over its caps. See docs/design.md.

Each module holds the rules on one subject, as functions over the records of
`stepstream.model.state`. They use neither a clock nor a socket. Times are in microseconds, loads in
slots. "Our" attempts and jobs are those of this dispatcher.
"""
