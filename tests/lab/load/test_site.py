"""Site files: what a faulty one is rejected with."""

import pytest

from stepstream.config.errors import ConfigurationError
from stepstream.lab.load.site import read_site


def test_a_faulty_site_file_is_named(tmp_path):
    path = tmp_path / "site.toml"
    path.write_text("nodes = 1\n")
    with pytest.raises(ConfigurationError, match="site.toml"):
        read_site(str(path))


def test_the_error_names_the_key_as_the_file_spells_it(tmp_path):
    path = tmp_path / "site.toml"
    path.write_text("nodes = 1\n")
    with pytest.raises(ConfigurationError, match="nodes"):
        read_site(str(path))
