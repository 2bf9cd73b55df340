"""Tests of hemlockkeel."""

import logging

from absl import logging as absl_logging

# Many tests cause errors on purpose; their log lines would hide the output
# of the test runner.
absl_logging.set_verbosity(absl_logging.FATAL)
logging.getLogger("waitress").setLevel(logging.CRITICAL)
