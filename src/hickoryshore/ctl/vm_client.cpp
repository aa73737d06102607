#include "hickoryshore/ctl/vm_client.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace hickoryshore {

namespace {

using nlohmann::json;

} // namespace

HttpResponse exchangeWithVm(const std::string &address, const HttpRequest &request, Duration timeout)
{
    const HostPort target = parseHostPort(address);
    HttpConnection connection(target.host, target.port);
    return connection.exchange(request, timeout);
}

FleetStatus parseFleetStatus(std::string_view body)
{
    try {
        const json object = json::parse(body);
        FleetStatus status;
        status.vm.value = object.at("vm").get<std::string>();
        status.dataCentre.value = object.at("dataCentre").get<std::string>();
        status.revision.value = object.at("revision").get<std::uint64_t>();
        for (const json &member : object.at("members")) {
            status.members.push_back({{member.at("vm").get<std::string>()},
                                      member.at("state").get<std::string>(),
                                      {member.at("revision").get<std::uint64_t>()},
                                      member.at("http").get<std::string>()});
        }
        return status;
    } catch (const json::exception &error) {
        throw std::invalid_argument(std::string("malformed status: ") + error.what());
    }
}

std::vector<std::string> parseEntryPoints(std::string_view body)
{
    try {
        return json::parse(body).at("entryPoints").get<std::vector<std::string>>();
    } catch (const json::exception &error) {
        throw std::invalid_argument(std::string("malformed entry points: ") + error.what());
    }
}

std::vector<VmStatus> laggingMembers(const FleetStatus &status, Revision revision)
{
    std::vector<VmStatus> lagging;
    if (status.revision < revision) {
        lagging.push_back({status.vm, "asked", status.revision, {}});
    }
    for (const VmStatus &member : status.members) {
        const bool serves = member.state != "dead" && member.state != "leaving";
        if (serves && member.vm != status.vm && member.revision < revision) {
            lagging.push_back(member);
        }
    }
    return lagging;
}

} // namespace hickoryshore
