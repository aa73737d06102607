// HTTP requests and responses as plain values, shared by the client and the server side.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// One header field.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// A request, as the client sends it and the server receives it.
struct HttpRequest
{
    std::string method = "GET";
    std::string path = "/"; ///< Without the query string.
    std::string queryString; ///< Without the question mark; empty where there is none.
    std::string body;
    std::vector<HttpHeader> headers;
};

/// A response, as the server sends it and the client receives it.
struct HttpResponse
{
    int status = 200;
    std::string body;
    std::vector<HttpHeader> headers;
    std::string contentType = "application/json";
};

/// Whether two names of header fields are the same; case does not count.
bool isSameHeader(std::string_view left, std::string_view right);

/// Returns the value of the first header with this name (compared without case), or nothing.
std::optional<std::string_view> findHeader(const std::vector<HttpHeader> &headers, std::string_view name);

/// Percent-encodes any bytes as the value of a parameter of a query string. Leaves the unreserved characters of RFC
/// 3986 and slashes as they are.
std::string encodeQueryValue(std::string_view value);

/// Returns the decoded value of a parameter of a query string, or nothing.
std::optional<std::string> findQueryParameter(std::string_view queryString, std::string_view name);

} // namespace hickoryshore
