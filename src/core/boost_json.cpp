// Compiles Boost.JSON once; Debian ships it as headers only.
#include <boost/json/src.hpp>
