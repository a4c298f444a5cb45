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

    def could_run(self, spec, node):
        """Return whether ``node`` could run ``spec`` if it ran no jobs."""
        rules = self._fleet.rules
        return (
            rules.may_run(spec, node.labels)
            and node.could_hold(self._fleet.get_need(spec))
            and all(rules.may_share(spec.name, s) for s in node.services)
        )

    def is_possible(self, spec):
        """Return whether some known instance could run ``spec``."""
        node = self._fleet.nodes.get(
            self._feasible_instances.get(spec.name, '')
        )
        if node is not None and self.could_run(spec, node):
            return True
        for node in self._fleet.nodes.values():
            if self.could_run(spec, node):
                self._feasible_instances[spec.name] = node.name
                return True
        return False

    def describe_infeasibility(self, spec):
        """Return the reason why no instance can run ``spec``, as text."""
        matching = [
            node
            for node in self._fleet.nodes.values()
            if self._fleet.rules.may_run(spec, node.labels)
        ]
        if not matching:
            return f'no instance matches runs_on {spec.runs_on!r}'
        need = self._fleet.get_need(spec)
        for node in matching:
            empty = nodes.Node(
                row=node.row, name=node.name, reserve=node.reserve
            )
            shortages = nodes.list_shortages(empty, need)
            if shortages:
                return f'too large for {node.name}: {", ".join(shortages)}'
        return (
            f'shares_with {spec.shares_with!r}, or that of a service, '
            'keeps it from each instance that matches'
        )
