// What a case saw from outside, and the record that it writes.
#pragma once

#include "http.h"

#include <fstream>
#include <vector>

namespace review {

/// A request that reached a replica and ran there.
struct Arrival
{
    std::string id;
    std::string replica;
    Instant at;
};

/// A request of a client and its answer.
struct Call
{
    std::string id;
    std::string path;
    std::string vm; ///< "ip:port" that it was sent to.
    Instant sentAt;
    Instant endedAt;
    int status = 0; ///< 0: no answer.
};

class Record
{
public:
    explicit Record(const std::string &file);

    /// Writes a line with the time since the start.
    void note(const std::string &text);

    void addArrival(Arrival arrival);
    void addCall(Call call);

    /// Writes all calls and arrivals to the record.
    void writeAll();

    std::vector<Arrival> arrivals();
    std::vector<Call> calls();
    double seconds(Instant at) const;

private:
    std::mutex mutex;
    std::ofstream output;
    Instant start = Clock::now();
    std::vector<Arrival> allArrivals;
    std::vector<Call> allCalls;
};

} // namespace review
