// Header fields as Boost.Beast's parsers hold them, turned into the project's types.
#pragma once

#include "hickoryshore/base/time.h"
#include "hickoryshore/http/http_message.h"

#include <optional>
#include <vector>

#include <boost/beast/http/fields.hpp>

namespace hickoryshore {

/// All header fields, in the order in which they came.
std::vector<HttpHeader> headersOf(const boost::beast::http::fields &fields);

/// The time that a Keep-Alive field states, or nothing.
std::optional<Duration> idleTimeoutOf(const boost::beast::http::fields &fields);

} // namespace hickoryshore
