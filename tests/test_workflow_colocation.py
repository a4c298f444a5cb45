"""Long-running tasks of several images beside best-effort tasks."""

import random

import testtools

from bilberryhaven.workflow import planner
from bilberryhaven.workflow import workflow_index
from tests import workflow_fakes as fakes

FEED = 'feed'
OTHER_FEED = 'other-feed'
IMAGES = 10
SERVERS = 75
WORKFLOWS = 25


def build_serving_step(image, **fields):
    fields.setdefault('cpu', 3200)
    return fakes.build_step(
        image=image, target_ms=150, long_running=True, **fields
    )


def build_server(key, *images, **fields):
    server = fakes.build_server(key, **fields)
    for image in images:
        server.claim(build_serving_step(image), ('w', 0, 0))
    return server


def place(workflows, servers):
    groups = [
        workflow_index.Group(
            row=fakes.build_workflow(f'w{number}', step),
            occurrence=0,
            index=0,
            step=step,
            keys=[f'0.0.{index}' for index in range(step.tasks)],
            due_at=0.0,
        )
        for number, step in enumerate(workflows)
    ]
    return planner.plan_starts(groups, servers, 0)


class TestColocation(testtools.TestCase):
    def build_pool(self, *servers):
        """Return a large pool; its other servers are open for no task."""
        rest = [build_server(f'full{n}', cpu=0) for n in range(12)]
        return [*servers, *rest]

    def test_task_joins_tasks_of_its_image(self):
        for image, expected in ((FEED, 'a'), (OTHER_FEED, 'b')):
            servers = [build_server('a', FEED), build_server('b', OTHER_FEED)]
            step = build_serving_step(image)
            starts = place([step], self.build_pool(*servers))
            self.assertEqual([expected], [row.backend for row in starts])

    def test_image_gets_a_server_of_its_own_in_a_large_pool(self):
        servers = [build_server('a', FEED), build_server('b')]
        step = build_serving_step(OTHER_FEED)
        starts = place([step], self.build_pool(*servers))
        self.assertEqual(['b'], [row.backend for row in starts])

    def test_images_are_packed_in_a_small_pool(self):
        servers = [build_server('a', FEED), build_server('b')]
        starts = place([build_serving_step(OTHER_FEED)], servers)
        self.assertEqual(['a'], [row.backend for row in starts])

    def test_images_share_a_server_before_a_task_waits(self):
        servers = self.build_pool(build_server('a', FEED))
        starts = place([build_serving_step(OTHER_FEED)], servers)
        self.assertEqual(['a'], [row.backend for row in starts])

    def test_tasks_that_claim_cpu_fill_up_serving_servers(self):
        servers = [build_server('a'), build_server('b', FEED)]
        starts = place([fakes.build_step()], servers)
        self.assertEqual(['b'], [row.backend for row in starts])


class TestStandingLoad(testtools.TestCase):
    """Standing tasks of ten images claim four fifths of a pool."""

    def setUp(self):
        super().setUp()
        rng = random.Random(1)
        self.servers = [
            fakes.build_server(
                str(number), cpu=24_000 if number % 3 == 0 else 16_000
            )
            for number in range(SERVERS)
        ]
        self.steps = [
            build_serving_step(
                f'feed-{rng.randrange(IMAGES)}',
                tasks=14,
                max_per_backend=rng.choice((0, 0, 1, 2)),
                cpu=rng.randrange(2400, 4000),
            )
            for _ in range(WORKFLOWS)
        ]

    def test_all_tasks_are_placed(self):
        starts = place(self.steps, self.servers)
        self.assertEqual(14 * WORKFLOWS, len(starts))

    def test_most_servers_serve_few_images(self):
        place(self.steps, self.servers)
        counts = [len(server.serving) for server in self.servers]
        self.assertLess(sum(count > 2 for count in counts), SERVERS / 5)
