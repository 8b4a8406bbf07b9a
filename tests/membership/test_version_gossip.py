"""The gossip of configuration versions, at one node and simulated over whole fleets."""

import random
import unittest

from bamboojunction.core.membership.version_gossip import (
    FANOUT,
    HOLDERS_MAX,
    REQUEST_TIMEOUT_SECONDS,
    VersionGossip,
)


class DecisionTests(unittest.TestCase):
    def setUp(self):
        self.gossip = VersionGossip(random.Random(1))

    def test_bounded_number_of_peers_is_told_and_never_the_source(self):
        peers = [f"n-{number}" for number in range(200)]
        told = self.gossip.peers_to_tell(peers, "n-1")
        self.assertEqual(len(told), FANOUT)
        self.assertEqual(len(set(told)), FANOUT)
        self.assertEqual(self.gossip.peers_to_tell(["n-1", "n-2"], "n-1"), ["n-2"])

    def test_version_is_requested_from_one_peer_and_from_the_next_if_it_does_not_come(self):
        self.assertEqual(self.gossip.record_told(3, 5, "a", 10.0), "a")
        self.assertIsNone(self.gossip.record_told(3, 5, "b", 10.0))
        self.assertEqual(self.gossip.next_to_ask(3, 10.0 + REQUEST_TIMEOUT_SECONDS), "b")
        self.assertIsNone(self.gossip.next_to_ask(3, 20.0))
        self.assertEqual(self.gossip.record_told(3, 5, "c", 20.0), "c")

    def test_nobody_is_asked_once_the_version_has_arrived(self):
        self.gossip.record_told(3, 5, "a", 10.0)
        self.gossip.record_told(3, 5, "b", 10.0)
        self.assertIsNone(self.gossip.next_to_ask(5, 20.0))

    def test_newer_version_is_requested_at_once_and_known_ones_never(self):
        self.assertEqual(self.gossip.record_told(3, 5, "a", 10.0), "a")
        self.assertEqual(self.gossip.record_told(3, 6, "b", 10.0), "b")
        self.assertIsNone(self.gossip.record_told(6, 6, "c", 20.0))
        self.assertIsNone(self.gossip.record_told(6, 5, "c", 20.0))

    def test_number_of_remembered_peers_is_bounded(self):
        for number in range(100):
            self.gossip.record_told(3, 5, f"n-{number}", 10.0)
        asked = [self.gossip.next_to_ask(3, 20.0 + second) for second in range(100)]
        self.assertEqual(sum(address is not None for address in asked), HOLDERS_MAX)


class FleetTests(unittest.TestCase):
    """A version that one node reads, over links as a fleet has them: some to random instances.

    The target is that 99% of the nodes learn of it within 1.5 s; a round takes one request over a
    link, or ``REQUEST_TIMEOUT_SECONDS`` if that is lost.
    """

    LINKS_PER_NODE = 30
    MISSED_SHARE_MAX = 0.01
    ROUNDS_MAX = int(1.5 / REQUEST_TIMEOUT_SECONDS)

    def spread(self, nodes: int, seed: int, dead_share: float = 0.0) -> tuple[int, int]:
        """Return how many live nodes miss a version, and how many rounds the others take."""
        rng = random.Random(seed)
        names = [f"n-{number}" for number in range(nodes)]
        alive = set(names[: round(nodes * (1 - dead_share))])
        linked = {name: set() for name in names}
        for name in names:
            for peer in rng.sample(names, min(nodes, self.LINKS_PER_NODE)):
                if peer != name:
                    linked[name].add(peer)
                    linked[peer].add(name)
        gossip_by_name = {name: VersionGossip(rng) for name in names}
        sources = {names[0]: "store"}
        newest, rounds = [names[0]], 0
        while newest:
            told = {
                peer: name
                for name in newest
                for peer in gossip_by_name[name].peers_to_tell(linked[name], sources[name])
                if peer in alive and peer not in sources
            }
            sources |= told
            newest = sorted(told)
            rounds += bool(newest)
        return len(alive) - len(sources), rounds

    def test_nearly_all_nodes_learn_of_a_version_within_a_few_rounds(self):
        for nodes in (13, 195, 954):
            for seed in range(10):
                with self.subTest(nodes=nodes, seed=seed):
                    missed, rounds = self.spread(nodes, seed)
                    self.assertLessEqual(missed, nodes * self.MISSED_SHARE_MAX)
                    self.assertLessEqual(rounds, self.ROUNDS_MAX)

    def test_loss_of_a_data_centre_does_not_stop_the_news(self):
        for seed in range(10):
            missed, rounds = self.spread(195, seed, dead_share=0.2)
            self.assertLessEqual(missed, 195 * self.MISSED_SHARE_MAX)
            self.assertLessEqual(rounds, self.ROUNDS_MAX)


if __name__ == "__main__":
    unittest.main()
