"""Checks whether any instance could run a workload if it were idle."""

from bilberryhaven.systems import node as nodes

__all__ = ['Feasibility']


class Feasibility:
    """Feasibility checks that cache one feasible instance per workload.

    Args:
        fleet: The ``Fleet``.
    """

    def __init__(self, *, fleet):
        self._fleet = fleet
        self._feasible_instances = {}

    def could_run(self, target, node):
        """Return whether ``node`` could run ``target`` if it ran no jobs."""
        rules = self._fleet.rules
        return (
            rules.may_run(target, node.labels)
            and node.could_hold(self._fleet.get_need(target))
            and all(rules.may_share(target.name, s) for s in node.services)
        )

    def is_possible(self, target):
        """Return whether some known instance could run ``target``."""
        node = self._fleet.nodes.get(
            self._feasible_instances.get(target.name, '')
        )
        if node is not None and self.could_run(target, node):
            return True
        for node in self._fleet.nodes.values():
            if self.could_run(target, node):
                self._feasible_instances[target.name] = node.name
                return True
        return False

    def describe_infeasibility(self, target):
        """Return the reason why no instance can run ``target``, as text."""
        matching = [
            node
            for node in self._fleet.nodes.values()
            if self._fleet.rules.may_run(target, node.labels)
        ]
        if not matching:
            return f'no instance matches runs_on {target.runs_on!r}'
        need = self._fleet.get_need(target)
        for node in matching:
            empty = nodes.Node(
                row=node.row, name=node.name, reserve=node.reserve
            )
            shortages = nodes.list_shortages(empty, need)
            if shortages:
                return f'too large for {node.name}: {", ".join(shortages)}'
        return (
            f'shares_with {target.shares_with!r}, or that of a service, '
            'keeps it from each instance that matches'
        )
