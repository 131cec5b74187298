"""Site files: the error for an invalid file names the file and the key."""

import pytest

from stepstream.config.errors import ConfigurationError
from stepstream.lab.load.site import read_site


def test_the_error_for_an_invalid_site_file_names_the_file(tmp_path):
    path = tmp_path / "site.toml"
    path.write_text("nodes = 1\n")
    with pytest.raises(ConfigurationError, match="site.toml"):
        read_site(str(path))


def test_the_error_for_an_invalid_site_file_names_the_key_as_spelled_in_the_file(tmp_path):
    path = tmp_path / "site.toml"
    path.write_text("nodes = 1\n")
    with pytest.raises(ConfigurationError, match="nodes"):
        read_site(str(path))
