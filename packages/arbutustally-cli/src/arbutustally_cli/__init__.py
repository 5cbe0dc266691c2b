"""The operator command behind the ``arbutustally`` binary."""
