// The history of a run for a history checker: one JSON line for each invocation and each response.
#pragma once

#include "hickoryshore/load/received_answer.h"

#include <fstream>
#include <mutex>
#include <string>

namespace hickoryshore {

/// Appends events to a file; a writer without a file name writes nothing. From any thread.
class HistoryWriter
{
public:
    /// Throws std::runtime_error where the file cannot be opened.
    explicit HistoryWriter(const std::string &fileName);

    /// Before the request is sent. `process` is the number of the sending thread, which has one request at a time.
    void invocation(int process, const PlannedQuery &query, Instant now);

    /// The answer as it was received; its body is kept word for word.
    void response(int process, const PlannedQuery &query, std::string_view body, Instant now);

    /// No answer came: the request may have run, but for `certainlyNotSent`.
    void noResponse(int process, const PlannedQuery &query, bool certainlyNotSent, Instant now);

private:
    void write(const std::string &line);

    std::mutex mutex;
    std::ofstream file;
    bool enabled = false;
};

} // namespace hickoryshore
