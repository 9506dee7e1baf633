"""Registry of the rules."""

from collections.abc import Callable, Iterator

from examples.histories.records import History, Violation

Rule = Callable[[History], Iterator[str]]

RULES: dict[str, Rule] = {}


def register_rule(name: str) -> Callable[[Rule], Rule]:
    """Register a function that yields what breaks its rule."""

    def decorate(rule: Rule) -> Rule:
        RULES[name] = rule
        return rule

    return decorate


def find_violations(history: History) -> list[Violation]:
    """Return everything in a history that breaks a rule."""
    return [
        Violation(name, detail)
        for name, rule in RULES.items()
        for detail in rule(history)
    ]
