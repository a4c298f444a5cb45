"""Colocation of latency-critical tasks with each other and with others.

Answers a load of long-running latency-critical tasks of several images that
claim most of a pool, beside best-effort tasks. A best-effort image raises the
tails of some latency-critical images and not those of others, so each further
image on a server closes it to more best-effort images. In a pool with many
servers for each image, latency-critical tasks of one image therefore share
servers; in a smaller one, too many servers would be left half empty.
"""

__all__ = ['rate_colocation', 'separates_images']

# Servers for each image from which on images get servers of their own. The
# last server of an image is half empty on average: at most a twelfth of a
# pool.
MIN_SERVERS_PER_IMAGE = 6


def separates_images(servers, step):
    """Return whether latency-critical images get servers of their own.

    Args:
        servers: The ``Server`` rows that may run the step.
        step: The ``Step`` of the tasks to be placed.
    """
    if not step.target_ms:
        return False
    images = {step.image}
    for server in servers:
        images.update(server.serving)
    return len(servers) >= MIN_SERVERS_PER_IMAGE * len(images)


def rate_colocation(server, step, *, separates):
    """Return the sort key of a server by the tasks that run there.

    Latency-critical tasks are packed on few servers. Other tasks that claim
    CPU fill up the servers that best-effort tasks avoid.

    Args:
        server: The ``Server``.
        step: The ``Step`` of a task that claims CPU.
        separates: Whether latency-critical tasks go first where no other
            image of theirs is served.
    """
    best_effort_share = round(server.best_effort_cpu / max(server.cpu, 1), 1)
    if not step.target_ms:
        return (not server.serving, best_effort_share)
    others = 0
    if separates:
        others = sum(image != step.image for image in server.serving)
    return (others, best_effort_share, -server.serving_cpu)
