#include "command_output.h"

#include <array>
#include <ctime>

namespace hickoryshore {

namespace {

using Json = nlohmann::ordered_json;

} // namespace

void printJson(const Json &value, std::ostream &out)
{
    out << value.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
}

ExitCode printFaults(std::span<const DeclarationFault> faults, const CommandCall &call)
{
    if (call.options.json) {
        Json list = Json::array();
        for (const DeclarationFault &fault : faults) {
            list.push_back({{"file", fault.file},
                            {"line", fault.line},
                            {"object", fault.object},
                            {"path", fault.path},
                            {"problem", fault.problem},
                            {"allowed", fault.allowed}});
        }
        printJson({{"faults", std::move(list)}}, call.out);
    } else {
        for (const DeclarationFault &fault : faults) {
            call.err << formatFault(fault) << '\n';
        }
        if (!faults.empty()) {
            call.err << faults.size() << (faults.size() == 1 ? " fault" : " faults") << ", nothing was changed\n";
        }
    }
    return faults.empty() ? ExitCode::Ok : ExitCode::Refused;
}

Json changesAsJson(std::span<const DeploymentChange> changes)
{
    Json list = Json::array();
    for (const DeploymentChange &change : changes) {
        Json item{{"change", changeKindName(change.kind)}, {"object", change.object}, {"path", change.path}};
        if (!change.before.empty()) {
            item["before"] = Json::parse(change.before);
        }
        if (!change.after.empty()) {
            item["after"] = Json::parse(change.after);
        }
        list.push_back(std::move(item));
    }
    return list;
}

void printChanges(std::span<const DeploymentChange> changes, std::ostream &out)
{
    for (const DeploymentChange &change : changes) {
        out << changeKindName(change.kind) << ' ' << change.object;
        if (!change.path.empty()) {
            out << ' ' << change.path;
        }
        if (!change.before.empty() || !change.after.empty()) {
            out << ": " << change.before << (change.before.empty() ? "" : " ") << "-> " << change.after;
        }
        out << '\n';
    }
}

std::string timeText(WallTime time)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::time_t seconds = time.milliseconds / millisecondsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
}

} // namespace hickoryshore
