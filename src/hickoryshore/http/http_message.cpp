#include "hickoryshore/http/http_message.h"

#include <algorithm>
#include <cctype>

#include <civetweb.h>

namespace hickoryshore {

bool isSameHeader(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

std::optional<std::string_view> findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (isSameHeader(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

// Not mg_url_encode(), which ends at a zero byte and leaves ';' as it is, a separator of parameters for some servers.
std::string encodeQueryValue(std::string_view value)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned digitBits = 4;
    constexpr unsigned lowDigit = 0xf;
    std::string encoded;
    for (const char character : value) {
        if (unreserved.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[byte >> digitBits];
        encoded += digits[byte & lowDigit];
    }
    return encoded;
}

std::optional<std::string> findQueryParameter(std::string_view queryString, std::string_view name)
{
    std::string value(queryString.size() + 1, '\0');
    const std::string nameWithEnd(name);
    const int length
        = mg_get_var(queryString.data(), queryString.size(), nameWithEnd.c_str(), value.data(), value.size());
    if (length < 0) {
        return std::nullopt;
    }
    value.resize(static_cast<std::size_t>(length));
    return value;
}

} // namespace hickoryshore
