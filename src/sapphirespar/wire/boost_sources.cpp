// The non-template parts of Asio and Beast, compiled once for all programs.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
