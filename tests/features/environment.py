"""Start a fleet of real processes for features tagged ``fleet``."""

import asyncio
import tempfile
from pathlib import Path

from crocusspindle_standins.fleet import Fleet, Layout, TargetGroup

LAYOUT = Layout(
    nodes=3,
    domains=3,
    groups=(TargetGroup("katalog", targets=2, slots=2, work_ms=5.0),),
)


def before_feature(context, feature):
    context.folder = Path(tempfile.mkdtemp(prefix="crocusspindle-feature-"))
    context.loop = asyncio.new_event_loop()
    context.fleet = None
    if "fleet" in feature.tags:
        context.fleet = context.loop.run_until_complete(start_fleet())


async def start_fleet():
    return await Fleet.temporary(LAYOUT).__aenter__()


def after_feature(context, feature):
    if context.fleet is not None:
        context.loop.run_until_complete(context.fleet.close())
    context.loop.close()
