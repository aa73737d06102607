// What hickoryctl asks of a VM's HTTP interface.
#pragma once

#include "hickoryshore/base/ids.h"
#include "hickoryshore/http/http_client.h"

#include <vector>

namespace hickoryshore {

/// One VM as another one sees it.
struct VmStatus
{
    VmId vm;
    std::string state;
    Revision revision;
    std::string http; ///< "ip:port"
};

/// The view of the VM that was asked.
struct FleetStatus
{
    VmId vm;
    DataCentreId dataCentre;
    Revision revision;
    std::vector<VmStatus> members;
};

/// Sends one request to "ip:port". Throws HttpError, and std::invalid_argument for a wrong address.
HttpResponse exchangeWithVm(const std::string &address, const HttpRequest &request, Duration timeout);

/// Parses the body of GET /v1/status. Throws std::invalid_argument.
FleetStatus parseFleetStatus(std::string_view body);

/// Parses the addresses in the body of GET /v1/entry-points. Throws std::invalid_argument.
std::vector<std::string> parseEntryPoints(std::string_view body);

/// Returns the members that serve and have a lower revision.
std::vector<VmStatus> laggingMembers(const FleetStatus &status, Revision revision);

} // namespace hickoryshore
