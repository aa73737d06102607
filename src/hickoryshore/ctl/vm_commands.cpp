#include "hickoryshore/clock/clock.h"
#include "hickoryshore/ctl/vm_client.h"
#include "hickoryshore/result/result_code.h"

#include "command_output.h"
#include "wait_in_force.h"

#include <iomanip>
#include <optional>
#include <random>
#include <thread>

namespace hickoryshore {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::chrono::milliseconds pauseBetweenLooks(200);
constexpr std::size_t mostNamed = 10;
constexpr int columnWidth = 24;

FleetStatus readStatus(const CommandOptions &options)
{
    const HttpResponse response = exchangeWithVm(options.vm, {.path = "/v1/status"}, options.timeout);
    return parseFleetStatus(response.body);
}

std::string randomRequestId()
{
    std::random_device source;
    return "hickoryctl-" + std::to_string(source()) + '-' + std::to_string(source());
}

std::string queryBody(const CommandCall &call)
{
    const CommandOptions &options = call.options;
    Json body{{"requestId", options.requestId.empty() ? randomRequestId() : options.requestId},
              {"caller", options.caller},
              {"query", call.arguments[1]},
              {"idempotent", options.idempotent},
              {"issuedAtMs", wallNow().milliseconds}};
    if (options.deadline > Duration(0)) {
        body["deadlineMs"] = ceilMilliseconds(options.deadline);
    }
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Sends the request to the first entry point that accepts a connection: to the next one only where it surely
/// reached nobody.
HttpResponse exchangeWithEntryPoint(const HttpRequest &request, const CommandOptions &options)
{
    const HttpResponse list = exchangeWithVm(options.vm, {.path = "/v1/entry-points"}, options.timeout);
    const std::vector<std::string> addresses = parseEntryPoints(list.body);
    for (const std::string &address : addresses) {
        try {
            return exchangeWithVm(address, request, options.timeout + options.deadline);
        } catch (const HttpError &error) {
            if (error.failure != HttpFailure::Connect) {
                throw;
            }
        }
    }
    throw HttpError(HttpFailure::Connect, "no entry point accepts a connection");
}

void printLagging(std::span<const VmStatus> lagging, std::ostream &err)
{
    err << lagging.size() << " VMs lag behind:";
    for (const VmStatus &member : lagging.first(std::min(lagging.size(), mostNamed))) {
        err << ' ' << member.vm.value << " (revision " << member.revision.value << ')';
    }
    err << (lagging.size() > mostNamed ? " ...\n" : "\n");
}

} // namespace

bool waitInForce(Revision revision, const CommandCall &call)
{
    const Instant end = monotonicNow() + call.options.waitLimit;
    while (true) {
        std::vector<VmStatus> lagging;
        std::string failure;
        try {
            lagging = laggingMembers(readStatus(call.options), revision);
        } catch (const std::exception &error) {
            failure = error.what();
        }
        if (failure.empty() && lagging.empty()) {
            return true;
        }
        if (monotonicNow() >= end) {
            if (failure.empty()) {
                printLagging(lagging, call.err);
            } else {
                call.err << "cannot tell whether the revision is in force: " << failure << '\n';
            }
            return false;
        }
        std::this_thread::sleep_for(pauseBetweenLooks);
    }
}

ExitCode runStatus(const CommandCall &call)
{
    const FleetStatus status = readStatus(call.options);
    Json members = Json::array();
    for (const VmStatus &member : status.members) {
        if (!call.options.json) {
            call.out << std::left << std::setw(columnWidth) << member.vm.value << std::setw(columnWidth) << member.http
                     << "revision " << std::setw(8) << member.revision.value << member.state << '\n';
        }
        members.push_back({{"vm", member.vm.value},
                           {"state", member.state},
                           {"revision", member.revision.value},
                           {"http", member.http}});
    }
    if (call.options.json) {
        printJson({{"vm", status.vm.value},
                   {"dataCentre", status.dataCentre.value},
                   {"revision", status.revision.value},
                   {"members", std::move(members)}},
                  call.out);
    } else {
        call.out << status.members.size() << " VMs seen by " << status.vm.value << ", which has revision "
                 << status.revision.value << '\n';
    }
    return ExitCode::Ok;
}

ExitCode runQuery(const CommandCall &call)
{
    const HttpRequest request{.method = "POST",
                              .path = "/v1/indexes/" + call.arguments[0] + "/query",
                              .queryString = {},
                              .body = queryBody(call),
                              .headers = {{"Content-Type", "application/json"}}};
    const HttpResponse response = exchangeWithEntryPoint(request, call.options);
    const Json answer = Json::parse(response.body);
    if (call.options.json) {
        printJson(answer, call.out);
    } else {
        call.out << answer.value("result", "") << ", execution " << answer.value("execution", "") << ", snapshot "
                 << answer.value("snapshot", std::uint64_t{0}) << ": " << answer.value("covered", Json::array()).size()
                 << " shards covered, " << answer.value("missed", Json::array()).size() << " missed\n";
        for (const Json &result : answer.value("results", Json::array())) {
            call.out << result.dump() << '\n';
        }
    }
    constexpr int firstClientError = 400;
    return response.status < firstClientError ? ExitCode::Ok : ExitCode::Refused;
}

ExitCode runResultCodes(const CommandCall &call)
{
    Json list = Json::array();
    for (const ResultCodeInfo &info : resultCodes()) {
        const int number = static_cast<int>(info.code);
        if (!call.options.json) {
            call.out << std::left << std::setw(5) << number << std::setw(columnWidth) << info.name << std::setw(12)
                     << executionName(info.execution) << std::setw(16) << retryAdviceName(info.retry) << info.meaning
                     << '\n';
        }
        list.push_back({{"code", number},
                        {"name", info.name},
                        {"execution", executionName(info.execution)},
                        {"retry", retryAdviceName(info.retry)},
                        {"httpStatus", info.httpStatus},
                        {"meaning", info.meaning}});
    }
    if (call.options.json) {
        printJson({{"resultCodes", std::move(list)}}, call.out);
    }
    return ExitCode::Ok;
}

} // namespace hickoryshore
