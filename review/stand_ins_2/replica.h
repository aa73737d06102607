// A stand-in for a replica.
#pragma once

#include "record.h"

namespace review {

class Replica
{
public:
    Replica(const std::string &address,
            std::string service,
            std::string id,
            Record &record,
            std::chrono::milliseconds workTime = std::chrono::milliseconds(3));

    /// Returns the entry that the replica registers.
    std::string entry(const std::string &state) const;

    const std::string &id() const;
    const std::string &address() const;

    /// The process ends.
    void end();

private:
    Response answer(const Request &request);

    std::string ownAddress;
    std::string service;
    std::string ownId;
    std::int64_t born = 0; ///< Milliseconds since 1970.
    Record &record;
    std::chrono::milliseconds workTime;
    HttpServer server;
};

} // namespace review
