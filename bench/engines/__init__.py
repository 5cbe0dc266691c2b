"""Model of a site on a virtual clock: engines, plain workers, callers and deciding nodes."""
