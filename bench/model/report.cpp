#include "model/report.h"

#include <iomanip>
#include <ostream>

#include <nlohmann/json.hpp>

namespace hickoryshore::bench {

namespace {

constexpr int nameWidth = 24;
constexpr int figureWidth = 9;
constexpr double percent = 100;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void printHeading(std::ostream &out, const RunReport &report)
{
    out << '\n' << report.service << ", " << report.scenario << ", seed " << report.seed << '\n';
    out << std::left << std::setw(nameWidth) << "policy" << std::right;
    for (const char *title : {"p50 ms",
                              "p99 ms",
                              "p99.9 ms",
                              "covered%",
                              "whole%",
                              "extra%",
                              "retryAmp",
                              "goodput%",
                              "refused",
                              "ref p99",
                              "late%",
                              "cancel%",
                              "conns"}) {
        out << std::setw(figureWidth) << title;
    }
    out << '\n';
}

std::uint64_t total(std::span<const CodeCount> counts)
{
    std::uint64_t sum = 0;
    for (const CodeCount &each : counts) {
        sum += each.count;
    }
    return sum;
}

void printRow(std::ostream &out, const RunReport &report)
{
    out << std::left << std::setw(nameWidth) << report.policy << std::right << std::fixed << std::setprecision(2);
    const auto figure = [&out](auto value) {
        out << std::setw(figureWidth) << value;
    };
    figure(milliseconds(report.all.p50));
    figure(milliseconds(report.all.p99));
    figure(milliseconds(report.all.p999));
    figure(percent * report.all.coverage);
    figure(percent * report.all.complete);
    figure(percent * report.extraLoad);
    out << std::setprecision(3);
    figure(report.retryAmplification);
    out << std::setprecision(2);
    figure(percent * report.goodput);
    figure(total(report.refusals));
    figure(milliseconds(report.refusalP99));
    figure(percent * report.lateShare);
    figure(percent * report.cancelledShare);
    figure(report.peakConnections);
    out << '\n';
}

void printDetails(std::ostream &out, const RunReport &report)
{
    for (const CodeCount &each : report.refusals) {
        out << "    refused " << each.code << ": " << each.count << '\n';
    }
    for (const CodeCount &each : report.failures) {
        out << "    failed " << each.code << ": " << each.count << '\n';
    }
    if (report.callers.size() < 2) {
        return;
    }
    for (const CallerReport &caller : report.callers) {
        out << "    caller " << caller.caller << ": p99 " << milliseconds(caller.p99)
            << " ms, with misses as deadlines " << milliseconds(caller.strictP99) << " ms, covered "
            << percent * caller.coverage << "%, whole " << percent * caller.complete << "%\n";
    }
}

nlohmann::json toJson(const CallerReport &caller)
{
    return {{"caller", caller.caller},
            {"queries", caller.queries},
            {"p50Ms", milliseconds(caller.p50)},
            {"p99Ms", milliseconds(caller.p99)},
            {"p999Ms", milliseconds(caller.p999)},
            {"strictP99Ms", milliseconds(caller.strictP99)},
            {"coverage", caller.coverage},
            {"whole", caller.complete}};
}

nlohmann::json toJson(std::span<const CodeCount> counts)
{
    nlohmann::json object = nlohmann::json::object();
    for (const CodeCount &each : counts) {
        object[each.code] = each.count;
    }
    return object;
}

nlohmann::json toJson(const RunReport &report)
{
    nlohmann::json object = {{"service", report.service},
                             {"scenario", report.scenario},
                             {"policy", report.policy},
                             {"seed", report.seed},
                             {"all", toJson(report.all)},
                             {"subRequests", report.subRequests},
                             {"extraLoad", report.extraLoad},
                             {"retryAmplification", report.retryAmplification},
                             {"goodput", report.goodput},
                             {"refusals", toJson(report.refusals)},
                             {"failures", toJson(report.failures)},
                             {"refusalP99Ms", milliseconds(report.refusalP99)},
                             {"refusalLongestMs", milliseconds(report.refusalLongest)},
                             {"refusalsWithoutRetryAfter", report.refusalsWithoutRetryAfter},
                             {"lateShare", report.lateShare},
                             {"cancelledShare", report.cancelledShare},
                             {"peakConnections", report.peakConnections},
                             {"mostPresent", report.peakInFlight},
                             {"aboveSlots", report.aboveSlots},
                             {"subRequestP95Ms", milliseconds(report.subRequestP95)},
                             {"subRequestP999Ms", milliseconds(report.subRequestP999)},
                             {"hedgeDelayP50Ms", milliseconds(report.hedgeDelayP50)},
                             {"silentSubRequests", report.silentSubRequests},
                             {"silentNonIdempotent", report.silentNonIdempotent},
                             {"mostSends", report.maxSends},
                             {"mostRuns", report.maxRuns},
                             {"incompleteAfterSettling", report.incompleteAfterSettling}};
    for (const SilentLatency &each : report.silentLatencies) {
        object["silentLatencies"].push_back({{"silences", each.silentConnections},
                                             {"subRequests", each.subRequests},
                                             {"longestMs", milliseconds(each.longest)}});
    }
    for (const CallerReport &caller : report.callers) {
        object["callers"].push_back(toJson(caller));
    }
    return object;
}

} // namespace

void printTable(std::ostream &out, std::span<const RunReport> reports)
{
    const RunReport *previous = nullptr;
    for (const RunReport &report : reports) {
        if (previous == nullptr || previous->scenario != report.scenario || previous->service != report.service) {
            printHeading(out, report);
        }
        printRow(out, report);
        printDetails(out, report);
        previous = &report;
    }
}

void printJson(std::ostream &out, std::span<const RunReport> reports)
{
    nlohmann::json array = nlohmann::json::array();
    for (const RunReport &report : reports) {
        array.push_back(toJson(report));
    }
    out << array.dump(2) << '\n';
}

} // namespace hickoryshore::bench
