#!/usr/bin/env bash
# The stand-ins of the review need no build: they are Python with the standard library alone.
exit 0
