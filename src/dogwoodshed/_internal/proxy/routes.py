"""Find the service of a path."""

from dogwoodshed._internal.configuration.model import Configuration, Service


class Routes:
    """Look services up by path prefix, at a cost that does not grow with them."""

    def __init__(self, configuration: Configuration | None) -> None:
        self._configuration = configuration
        services = configuration.services if configuration else ()
        self._services = {service.path_prefix: service for service in services}

    @property
    def configuration(self) -> Configuration | None:
        return self._configuration

    def find(self, path: str) -> Service | None:
        """Return the service with the longest path prefix that matches."""
        services = self._services
        service = services.get(path)
        end = len(path)
        while service is None:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            service = services.get(path[: end + 1]) or services.get(path[:end])
        return service
