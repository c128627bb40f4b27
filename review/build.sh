#!/bin/sh
# The stand-ins are Python programs; nothing has to be built.
exec python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 or later is needed")'
