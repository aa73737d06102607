// Frames between VMs: a protobuf Frame with a version and a size bound.
#pragma once

#include "hickoryshore/result/result_code.h"

#include "query.pb.h"

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace hickoryshore {

/// The version that this build writes and the only one that it reads.
constexpr std::uint32_t frameVersion = 1;

/// The longest frame that is read or written, in bytes.
constexpr std::size_t largestFrame = std::size_t{8} * 1024 * 1024;

/// Thrown for a frame that cannot be read; its code is BadFrame, FrameVersion or FrameTooLarge.
class FrameError : public std::runtime_error
{
public:
    FrameError(ResultCode code, const std::string &message) : std::runtime_error(message), code(code)
    { }

    ResultCode code;
};

/// Serializes a frame and sets its version. Throws FrameError(FrameTooLarge).
std::string encodeFrame(wire::Frame &frame);

/// Parses a frame and checks every number that the receiver relies on. Throws FrameError.
wire::Frame decodeFrame(std::string_view bytes);

} // namespace hickoryshore
