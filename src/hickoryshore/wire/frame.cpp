#include "hickoryshore/wire/frame.h"

#include <algorithm>

namespace hickoryshore {

namespace {

void checkCode(int code)
{
    if (!resultCodeFromNumber(code).has_value()) {
        throw FrameError(ResultCode::BadFrame, "unknown result code " + std::to_string(code));
    }
}

void checkReply(const wire::SubReplyMessage &reply)
{
    checkCode(reply.result_code());
}

void checkLedgerCall(const wire::LedgerCall &call)
{
    checkCode(call.result_code());
}

void checkLedgerReply(const wire::LedgerReply &reply)
{
    checkCode(reply.result_code());
    checkCode(reply.recorded_code());
    if (reply.execution() > static_cast<std::uint32_t>(Execution::MayHaveRun)) {
        throw FrameError(ResultCode::BadFrame, "unknown execution " + std::to_string(reply.execution()));
    }
}

void checkRequest(const wire::SubRequestMessage &request)
{
    if (request.shard().empty() || request.index().empty()) {
        throw FrameError(ResultCode::BadFrame, "a sub-request names no index or shard");
    }
}

} // namespace

std::string encodeFrame(wire::Frame &frame)
{
    frame.set_version(frameVersion);
    std::string bytes = frame.SerializeAsString();
    if (bytes.size() > largestFrame) {
        throw FrameError(ResultCode::FrameTooLarge, "a frame of " + std::to_string(bytes.size()) + " bytes");
    }
    return bytes;
}

wire::Frame decodeFrame(std::string_view bytes)
{
    if (bytes.size() > largestFrame) {
        throw FrameError(ResultCode::FrameTooLarge, "a frame of " + std::to_string(bytes.size()) + " bytes");
    }
    wire::Frame frame;
    if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        throw FrameError(ResultCode::BadFrame, "not a frame");
    }
    if (frame.version() != frameVersion) {
        throw FrameError(ResultCode::FrameVersion, "frame version " + std::to_string(frame.version()));
    }
    std::ranges::for_each(frame.sub_requests(), checkRequest);
    std::ranges::for_each(frame.sub_replies(), checkReply);
    std::ranges::for_each(frame.ledger_calls(), checkLedgerCall);
    std::ranges::for_each(frame.ledger_replies(), checkLedgerReply);
    return frame;
}

} // namespace hickoryshore
