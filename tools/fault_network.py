"""The network between the entry processes of a test cluster, with faults that can be injected."""

from collections.abc import Collection, Iterable, Mapping

from kumquatlift.settings import Address
from tools.fault_proxy import FaultProxy


class FaultNetwork:
    """A proxy before the peers port of each entry process.

    The proxies tell sources apart by IP number, so every process needs one of its own.

    Args:
        peers: Where each entry process listens for its peers, "ip:port", by name.
        host: IP number of the proxies.
    """

    def __init__(self, *, peers: Mapping[str, str], host: str) -> None:
        targets = {name: Address.parse(text) for name, text in peers.items()}
        self._hosts = {name: target.host for name, target in targets.items()}
        free = Address(host, 0)
        self._proxies = {
            name: FaultProxy(target=target, listen=free, control=free, seed=number)
            for number, (name, target) in enumerate(targets.items())
        }

    def address(self, name: str) -> str:
        """Address at which the others reach an entry process."""
        return str(self._proxies[name].address)

    def command(self, line: str) -> None:
        """Give every proxy a command."""
        for name in self._proxies:
            self._command(name, line)

    def cut(self, sources: Iterable[str], targets: Collection[str]) -> None:
        """Let nothing from the sources reach the targets; the other direction stays open."""
        for source in sources:
            for target in targets:
                # Connections that the target opened carry bytes of the source as well.
                self._command(target, f"cut up from {self._hosts[source]}")
                self._command(source, f"cut down from {self._hosts[target]}")

    def isolate(self, names: Collection[str]) -> None:
        """Cut some entry processes off from all the others, in both directions."""
        others = [name for name in self._proxies if name not in names]
        self.cut(names, others)
        self.cut(others, names)

    def heal(self) -> None:
        """End every cut, loss and delay."""
        self.command("pass")

    def close(self) -> None:
        """Close the proxies."""
        for proxy in self._proxies.values():
            proxy.close()

    def _command(self, name: str, line: str) -> None:
        answer = self._proxies[name].command(line)
        if not answer.startswith("ok"):
            raise ValueError(answer)
