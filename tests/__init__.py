"""Tests of hemlockkeel."""

import logging

from absl import logging as absl_logging

# Failures are brought about on purpose; their log lines would drown the
# test runner's.
absl_logging.set_verbosity(absl_logging.FATAL)
logging.getLogger("waitress").setLevel(logging.CRITICAL)
