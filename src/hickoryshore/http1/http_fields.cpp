#include "http_fields.h"

#include "hickoryshore/http1/http_exchange.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include <boost/beast/http/rfc7230.hpp>

namespace hickoryshore {

namespace {

using namespace std::string_view_literals;

/// The fields that RFC 9110, section 7.6.1, binds to one connection. The length is set anew with the body.
constexpr std::array connectionFields = {"connection"sv,
                                         "keep-alive"sv,
                                         "proxy-connection"sv,
                                         "proxy-authenticate"sv,
                                         "proxy-authorization"sv,
                                         "te"sv,
                                         "trailer"sv,
                                         "transfer-encoding"sv,
                                         "upgrade"sv,
                                         "content-length"sv,
                                         "expect"sv};

} // namespace

std::vector<HttpHeader> headersOf(const boost::beast::http::fields &fields)
{
    std::vector<HttpHeader> headers;
    for (const auto &field : fields) {
        const auto name = field.name_string();
        const auto value = field.value();
        headers.push_back({std::string(name.data(), name.size()), std::string(value.data(), value.size())});
    }
    return headers;
}

std::optional<Duration> idleTimeoutOf(const boost::beast::http::fields &fields)
{
    constexpr std::string_view key = "timeout=";
    const auto value = fields[boost::beast::http::field::keep_alive];
    const std::string_view text(value.data(), value.size());
    const std::size_t at = text.find(key);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char *const begin = text.data() + at + key.size();
    if (std::from_chars(begin, text.data() + text.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

bool isHopByHop(std::string_view name, std::string_view connectionOptions)
{
    const auto isName = [name](std::string_view field) {
        return isSameHeader(name, field);
    };
    if (std::ranges::any_of(connectionFields, isName)) {
        return true;
    }
    return boost::beast::http::token_list({connectionOptions.data(), connectionOptions.size()})
        .exists({name.data(), name.size()});
}

void appendHeader(std::string &message, std::string_view name, std::string_view value)
{
    message.append(name).append(": ").append(value).append("\r\n");
}

std::string formatSeconds(Duration duration)
{
    std::string text = std::to_string(static_cast<double>(duration.count()) / 1e6);
    return text.substr(0, text.find('.') + 4);
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view queryOf(std::string_view target)
{
    const std::size_t mark = target.find('?');
    return mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
}

} // namespace hickoryshore
