"""Colocation of latency-critical tasks with each other and with others.

Answers a load of long-running latency-critical tasks of several images that
claim most of a pool, beside best-effort tasks. A best-effort image raises the
tails of some latency-critical images and not those of others, so each further
image on a server closes it to more best-effort images. Latency-critical tasks
of one image therefore share servers.
"""

__all__ = ['rate_colocation']


def rate_colocation(server, step):
    """Return the sort key of a server by the tasks that run there.

    Latency-critical tasks go where no other image of theirs is served, then
    are packed on few servers. Other tasks that claim CPU fill up the servers
    that best-effort tasks avoid.

    Args:
        server: The ``Server``.
        step: The ``Step`` of a task that claims CPU.
    """
    best_effort_share = round(server.best_effort_cpu / max(server.cpu, 1), 1)
    if step.target_ms:
        others = sum(image != step.image for image in server.serving)
        return (others, best_effort_share, -server.serving_cpu)
    return (not server.serving, best_effort_share)
