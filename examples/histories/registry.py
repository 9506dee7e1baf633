"""Registry of the rules that histories must obey."""

from collections.abc import Callable, Iterator

from examples.histories.records import History, Violation

Rule = Callable[[History], Iterator[str]]

RULES: dict[str, Rule] = {}


def register_rule(name: str) -> Callable[[Rule], Rule]:
    """Register a function that yields the violations of its rule."""

    def decorate(rule: Rule) -> Rule:
        RULES[name] = rule
        return rule

    return decorate


def find_violations(history: History) -> list[Violation]:
    """Return the violations of all rules in a history."""
    return [
        Violation(name, detail)
        for name, rule in RULES.items()
        for detail in rule(history)
    ]
