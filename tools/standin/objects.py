"""An object store in memory, without input or output."""

import msgspec


class ObjectsDownError(Exception):
    """The object store is switched off."""


class ObjectStats(msgspec.Struct):
    """Operations counted since the start; checkpoints that the runtime stores are not counted."""

    object_puts: int = 0
    object_gets: int = 0
    object_overwrites: int = 0


class ObjectStore:
    """Objects by key; while ``is_down`` is set, every read and write is refused."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}
        self._stats = ObjectStats()
        self.is_down = False

    @property
    def stats(self) -> ObjectStats:
        return self._stats

    def put(self, key: str, data: bytes) -> None:
        """Store an object and count it; raises ``ObjectsDownError``."""
        self._require_up()
        self._stats.object_puts += 1
        self._stats.object_overwrites += self._objects.get(key, data) != data
        self._objects[key] = data

    def replace(self, key: str, data: bytes) -> None:
        """Store an object without counting it, as for checkpoints; raises ``ObjectsDownError``."""
        self._require_up()
        self._objects[key] = data

    def get(self, key: str) -> bytes | None:
        """Return an object, or None if it does not exist; raises ``ObjectsDownError``."""
        self._require_up()
        self._stats.object_gets += 1
        return self._objects.get(key)

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that start with ``prefix``, sorted."""
        return sorted(key for key in self._objects if key.startswith(prefix))

    def _require_up(self) -> None:
        if self.is_down:
            raise ObjectsDownError
