#include "hickoryshore/daemon/status_page.h"

#include <nlohmann/json.hpp>

namespace hickoryshore {

namespace {

std::string httpAddress(const Member &member)
{
    return member.address + ':' + std::to_string(member.httpPort);
}

} // namespace

std::string formatStatus(const RoutingView &view)
{
    nlohmann::ordered_json json;
    json["vm"] = view.self.value;
    json["dataCentre"] = view.dataCentre.value;
    json["region"] = view.region.value;
    json["revision"] = view.deployment == nullptr ? 0 : view.deployment->revision.value;
    json["members"] = nlohmann::ordered_json::array();
    if (view.members != nullptr) {
        for (const Member &member : view.members->members) {
            json["members"].push_back({{"vm", member.vm.value},
                                       {"state", memberStateName(member.state)},
                                       {"revision", member.configRevision.value},
                                       {"http", httpAddress(member)},
                                       {"dataCentre", member.dataCentre.value},
                                       {"region", member.region.value}});
        }
    }
    return json.dump();
}

std::vector<Gauge> gaugesOf(const TrafficLoop &traffic)
{
    const UpstreamPoolCounts counts = traffic.upstreamCounts();
    return {
        {"queries_in_flight", "Queries of callers that are not answered yet", double(traffic.queriesInFlight())},
        {"sub_requests_in_flight", "Sub-requests held as owner", double(traffic.subRequestsInFlight())},
        {"upstream_connections", "Open connections to upstreams", double(counts.open)},
        {"upstream_connections_opened", "Connections opened to upstreams so far", double(counts.opened)},
        {"upstream_connections_failed",
         "Connections to upstreams that could not be opened",
         double(counts.failedToOpen)},
        {"upstream_connections_silent", "Connections closed since no reply came", double(counts.closedAsSilent)},
        {"upstream_connections_suspect",
         "Idle connections closed since others went silent",
         double(counts.closedAsSuspect)},
    };
}

} // namespace hickoryshore
