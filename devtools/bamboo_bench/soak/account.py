"""The account at the end of a long run."""

from collections import Counter
from dataclasses import dataclass

from bamboo_bench.soak.load import Records
from bamboo_standins.ledger import LedgerAudit


@dataclass(slots=True, frozen=True)
class Account:
    """Compare what callers were told with the effects that truly happened.

    ``doubled`` counts effects that happened twice; ``denied`` keys that took effect although every
    answer said not run; ``missing`` keys that were said to have run and have no effect.
    """

    keys: int
    effects: int
    doubled: int
    denied: int
    missing: int
    broken_answers: int

    @classmethod
    def from_run(cls, records: Records, effects: list[dict]) -> "Account":
        """Work out the account from the callers' records and the ledger."""
        count_by_key = Counter(effect["key"] for effect in effects)
        audit = LedgerAudit(effects)
        denied = 0
        missing = 0
        for key, outcomes in records.outcomes_by_key.items():
            denied += set(outcomes) == {"not-run"} and bool(audit.effects_of(key))
            missing += "ran" in outcomes and count_by_key[key] == 0
        return cls(
            keys=len(records.outcomes_by_key),
            effects=len(effects),
            doubled=sum(1 for count in count_by_key.values() if count > 1),
            denied=denied,
            missing=missing,
            broken_answers=records.broken_answers,
        )

    @property
    def is_clean(self) -> bool:
        """Return whether nothing was doubled, denied, missing or broken."""
        return not (self.doubled or self.denied or self.missing or self.broken_answers)
