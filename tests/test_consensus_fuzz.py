"""Stateful fuzzing of replicas with the same examples in every run."""

from tests.fuzz import consensus

TestReplicas = consensus.ReplicaMachine.TestCase
TestReplicas.settings = consensus.build_settings(
    max_examples=consensus.EXAMPLES, derandomize=True
)
