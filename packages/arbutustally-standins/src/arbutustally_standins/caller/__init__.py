"""Demo client: asks which nodes to use, streams, resumes elsewhere and books."""
