"""At-most-once execution of calls.

An action key is an idempotency key that names its home, the one node incarnation that may start
attempts of the action. A gate is the admission point in front of an upstream. It keeps records of
the attempts that it ran, and seals keys that it must never run.
"""
