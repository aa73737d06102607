#include "hickoryshore/routes/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace hickoryshore {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string normalized(host.substr(0, host.find(':')));
    std::ranges::transform(normalized, normalized.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return normalized;
}

} // namespace

bool gathersFrom(const Route *route, std::span<const ServiceId> services)
{
    if (route == nullptr) {
        return false;
    }
    // The services usually come in the order of the shards, so each search starts where the one before ended.
    auto next = route->shards.begin();
    return std::ranges::all_of(services, [route, &next](const ServiceId &service) {
        const auto end = route->shards.end();
        auto found = std::find(next, end, service);
        if (found == end) {
            found = std::find(route->shards.begin(), next, service);
            if (found == next) {
                return false;
            }
        }
        next = std::next(found);
        return true;
    });
}

RouteIndex::RouteIndex(std::shared_ptr<const RouteTable> table) : routes(std::move(table))
{
    for (const Route &route : this->routes->routes) {
        this->hosts[normalizedHost(route.host)][route.pathPrefix] = &route;
    }
}

const Route *RouteIndex::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = this->hosts.find(normalizedHost(host));
    if (prefixes == this->hosts.end()) {
        return nullptr;
    }
    // Every prefix ends with a slash, so only substrings of the path that end with a slash can match.
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end()) {
            return found->second;
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

const RouteTable &RouteIndex::table() const
{
    return *this->routes;
}

} // namespace hickoryshore
