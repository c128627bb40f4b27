// Compiles Boost.JSON once: Debian ships it as a header-only library.
#include <boost/json/src.hpp>
