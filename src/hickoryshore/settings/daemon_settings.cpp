#include "hickoryshore/settings/daemon_settings.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <span>
#include <sstream>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

namespace hickoryshore {

using Json = nlohmann::json;

namespace {

constexpr int largestPort = 65535;

/// Time of a shutdown beside the life of the entry-point answers: news, late callers, requests in flight.
constexpr Duration shutdownMargin = std::chrono::seconds(5);

/// Thrown by a field's parse function with what is wrong.
using FieldError = std::invalid_argument;

/// One key: how it is parsed and what it may hold.
struct Field
{
    std::string_view path;
    bool required = false;
    std::string allowed;
    std::function<void(const Json &, DaemonSettings &)> parse;
};

std::string parseText(const Json &value)
{
    if (!value.is_string() || value.get_ref<const std::string &>().empty()) {
        throw FieldError("not a text");
    }
    return value.get<std::string>();
}

std::string parseIpNumber(const Json &value)
{
    std::string text = parseText(value);
    in_addr address{};
    if (inet_pton(AF_INET, text.c_str(), &address) != 1) {
        throw FieldError("not an IP number: " + text);
    }
    return text;
}

std::int64_t parseNumber(const Json &value, std::int64_t least, std::int64_t most)
{
    if (!value.is_number_integer()) {
        throw FieldError("not a whole number");
    }
    const auto number = value.get<std::int64_t>();
    if (number < least || number > most) {
        throw FieldError(std::to_string(number) + " is out of range");
    }
    return number;
}

template<typename Id>
Field nameField(std::string_view path, Id DaemonSettings::*member)
{
    return {path, true, "a text that is not empty", [member](const Json &value, DaemonSettings &settings) {
                (settings.*member).value = parseText(value);
            }};
}

Field ipField(std::string_view path, bool required, std::string DaemonSettings::*member)
{
    return {
        path, required, "an IPv4 number such as \"127.0.0.1\"", [member](const Json &value, DaemonSettings &settings) {
            settings.*member = parseIpNumber(value);
        }};
}

std::string rangeText(std::int64_t least, std::int64_t most, std::string_view unit)
{
    return "a whole number from " + std::to_string(least) + " to " + std::to_string(most) + std::string(unit);
}

Field numberField(std::string_view path, bool required, int least, int most, int DaemonSettings::*member)
{
    return {path, required, rangeText(least, most, ""), [=](const Json &value, DaemonSettings &settings) {
                settings.*member = static_cast<int>(parseNumber(value, least, most));
            }};
}

Field durationField(std::string_view path, std::int64_t least, std::int64_t most, Duration DaemonSettings::*member)
{
    return {path, false, rangeText(least, most, " milliseconds"), [=](const Json &value, DaemonSettings &settings) {
                settings.*member = std::chrono::milliseconds(parseNumber(value, least, most));
            }};
}

void parseSeeds(const Json &value, DaemonSettings &settings)
{
    if (!value.is_array()) {
        throw FieldError("not a list");
    }
    for (const Json &seed : value) {
        const std::string text = parseText(seed);
        const std::size_t colon = text.rfind(':');
        if (colon == std::string::npos) {
            throw FieldError("not an ip:port address: " + text);
        }
        parseIpNumber(text.substr(0, colon));
        const Json port = Json::parse(text.substr(colon + 1), nullptr, false);
        parseNumber(port, 1, largestPort);
        settings.seeds.push_back(text);
    }
}

void parseLogLevel(const Json &value, DaemonSettings &settings)
{
    const std::string text = parseText(value);
    const std::set<std::string_view> levels{"debug", "info", "warn", "error"};
    if (!levels.contains(text)) {
        throw FieldError("unknown level " + text);
    }
    settings.logLevel = text;
}

std::vector<Field> makeFields()
{
    using S = DaemonSettings;
    return {
        nameField("/vm", &S::vm),
        nameField("/dataCentre", &S::dataCentre),
        nameField("/region", &S::region),
        ipField("/address", true, &S::address),
        ipField("/bindAddress", false, &S::bindAddress),
        numberField("/httpPort", true, 1, largestPort, &S::httpPort),
        numberField("/peerPort", true, 1, largestPort, &S::peerPort),
        numberField("/membershipPort", true, 1, largestPort, &S::membershipPort),
        ipField("/platform/address", true, &S::platformAddress),
        numberField("/platform/port", true, 1, largestPort, &S::platformPort),
        durationField("/platform/timeoutMs", 10, 60000, &S::platformTimeout),
        {"/seeds", false, "a list of \"ip:port\" texts", parseSeeds},
        numberField("/callerThreads", false, 1, 4096, &S::callerThreads),
        numberField("/queryLimit", false, 1, 1000000, &S::queryLimit),
        durationField("/longestDeadlineMs", 1, 3600000, &S::longestDeadline),
        durationField("/entryPointsTimeToLiveMs", 100, 600000, &S::entryPointsTimeToLive),
        durationField("/shutdownLimitMs", 0, 3600000, &S::shutdownLimit),
        durationField("/configurationPollMs", 100, 600000, &S::configurationPoll),
        numberField("/ledgerGroupLimit", false, 1, 1000, &S::ledgerGroupLimit),
        {"/logLevel", false, "\"debug\", \"info\", \"warn\" or \"error\"", parseLogLevel},
    };
}

const std::vector<Field> &fields()
{
    static const std::vector<Field> all = makeFields();
    return all;
}

/// Records every key that stands twice in one object while the text is parsed.
class DuplicateFinder
{
public:
    bool operator()(int /*depth*/, Json::parse_event_t event, Json &parsed)
    {
        if (event == Json::parse_event_t::object_start) {
            this->open.emplace_back();
        } else if (event == Json::parse_event_t::object_end) {
            this->open.pop_back();
        } else if (event == Json::parse_event_t::key && !this->open.back().insert(parsed.get<std::string>()).second) {
            this->faults.push_back({"/" + parsed.get<std::string>(), "the key stands twice", "each key once"});
        }
        return true;
    }

    std::vector<SettingsFault> faults;

private:
    std::vector<std::set<std::string>> open;
};

bool isKnown(const std::string &path)
{
    return std::ranges::any_of(fields(), [&path](const Field &field) {
        return field.path == path;
    });
}

std::string knownKeys(std::string_view prefix)
{
    std::string keys;
    for (const Field &field : fields()) {
        if (field.path.starts_with(prefix)) {
            keys += (keys.empty() ? "" : ", ") + std::string(field.path.substr(prefix.size()));
        }
    }
    return "one of " + keys;
}

void findUnknownKeys(const Json &json, const std::string &prefix, std::vector<SettingsFault> &faults)
{
    for (const auto &[key, value] : json.items()) {
        const std::string path = prefix + key;
        if (path == "/platform" && value.is_object()) {
            findUnknownKeys(value, "/platform/", faults);
        } else if (!isKnown(path)) {
            faults.push_back({path, "unknown key", knownKeys(prefix)});
        }
    }
}

void parseField(const Field &field, const Json &json, DaemonSettings &settings, std::vector<SettingsFault> &faults)
{
    const Json::json_pointer pointer{std::string(field.path)};
    if (!json.contains(pointer)) {
        if (field.required) {
            faults.push_back({std::string(field.path), "the key is missing", field.allowed});
        }
        return;
    }
    try {
        field.parse(json.at(pointer), settings);
    } catch (const FieldError &error) {
        faults.push_back({std::string(field.path), error.what(), field.allowed});
    }
}

/// A shutdown must outlast the answers that name this VM, or it would cut callers off.
void checkShutdownLimit(const DaemonSettings &settings, std::vector<SettingsFault> &faults)
{
    const Duration least = settings.entryPointsTimeToLive + shutdownMargin;
    if (settings.shutdownLimit < least) {
        faults.push_back({"/shutdownLimitMs",
                          std::to_string(ceilMilliseconds(settings.shutdownLimit)) + " is too short",
                          "at least entryPointsTimeToLiveMs + " + std::to_string(ceilMilliseconds(shutdownMargin))});
    }
}

std::string faultsText(std::string_view file, std::span<const SettingsFault> faults)
{
    std::ostringstream text;
    for (const SettingsFault &fault : faults) {
        text << file << ": " << fault.path << ": " << fault.problem << "; allowed: " << fault.allowed << '\n';
    }
    return text.str();
}

std::string linePosition(std::string_view text, std::size_t byte)
{
    const std::string_view before = text.substr(0, byte == 0 ? 0 : byte - 1);
    const auto line = std::ranges::count(before, '\n') + 1;
    const std::size_t lineStart = before.rfind('\n');
    const std::size_t column = before.size() - (lineStart == std::string_view::npos ? 0 : lineStart + 1) + 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

} // namespace

SettingsError::SettingsError(std::string_view file, std::vector<SettingsFault> faults)
    : std::runtime_error(faultsText(file, faults)), faults(std::move(faults))
{ }

DaemonSettings parseDaemonSettings(std::string_view file, std::string_view text)
{
    DuplicateFinder duplicates;
    Json json;
    try {
        json = Json::parse(text, std::ref(duplicates), true, true);
    } catch (const Json::parse_error &error) {
        throw SettingsError(file, {{linePosition(text, error.byte), error.what(), "JSON with comments"}});
    }
    if (!json.is_object()) {
        throw SettingsError(file, {{"/", "not an object", "a JSON object"}});
    }
    std::vector<SettingsFault> faults = std::move(duplicates.faults);
    findUnknownKeys(json, "/", faults);
    DaemonSettings settings;
    for (const Field &field : fields()) {
        parseField(field, json, settings, faults);
    }
    if (settings.bindAddress.empty()) {
        settings.bindAddress = settings.address;
    }
    checkShutdownLimit(settings, faults);
    if (!faults.empty()) {
        throw SettingsError(file, std::move(faults));
    }
    return settings;
}

DaemonSettings readDaemonSettings(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        throw SettingsError(file, {{"/", "the file cannot be read", "a readable file"}});
    }
    const std::string text(std::istreambuf_iterator<char>(stream), {});
    return parseDaemonSettings(file, text);
}

} // namespace hickoryshore
