"""Runs many engine stand-ins in one process, so that 50 fit a small machine.

Started by `bench.control`. The arguments are a JSON list of VMs and the address
of the weight store.
"""

from gevent import monkey

monkey.patch_all()

# pylint: disable=wrong-import-position
import signal  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent import pywsgi  # noqa: E402

from arbutuscove.standins import engine as engine_module  # noqa: E402
from arbutuscove.storage import http  # noqa: E402
from arbutuscove.storage import inventory  # noqa: E402


def main() -> None:
    """Serves one engine at the address of each VM until SIGTERM."""
    vms = msgspec.json.decode(sys.argv[1], type=list[inventory.Vm])
    for vm in vms:
        settings = engine_module.Settings(
            vm=vm.name,
            check_fencing=True,
            slots=8,
            token_interval=0.005,
            load_seconds=0.2,
            weights=sys.argv[2],
            record=None,
        )
        app = engine_module.EngineStandin(settings).build_app()
        address = http.Address.parse(vm.address)
        pywsgi.WSGIServer((address.host, address.port), app, log=None).start()
    gevent.signal_handler(signal.SIGTERM, sys.exit, 0)
    gevent.get_hub().join()
    while True:
        gevent.sleep(60)


if __name__ == "__main__":
    main()
