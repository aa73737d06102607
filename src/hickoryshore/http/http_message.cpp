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
