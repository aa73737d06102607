// The membership messages as typed values, and their encoding for one datagram.
#pragma once

#include "hickoryshore/membership/member.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// The version that encodeMessage() writes; datagrams of another version are malformed.
inline constexpr std::uint32_t membershipVersion = 1;

/// No datagram is longer than this many bytes, so that none is fragmented on the way.
inline constexpr std::size_t maximumDatagramBytes = 1200;

/// The longest id, name or address that a datagram may carry, in bytes.
inline constexpr std::size_t maximumNameBytes = 64;

/// How a VM is reached and where it is.
struct MemberDescription
{
    DataCentreId dataCentre;
    RegionId region;
    std::string address; ///< IP number.
    int membershipPort = 0;
    int peerPort = 0;
    int httpPort = 0;
    int capacity = 0; ///< Processor, in thousandths of a core; zero: not told.

    bool operator==(const MemberDescription &) const = default;
};

/// What one VM tells of another, or of itself.
struct MemberUpdate
{
    VmId vm;
    std::uint64_t processId = 0;
    WallTime started;
    std::uint32_t incarnation = 0;
    MemberState state = MemberState::Alive;
    std::optional<MemberDescription> description; ///< Left out where the receiver is expected to have it.

    bool operator==(const MemberUpdate &) const = default;
};

/// What a message asks for or answers.
enum class MessageKind {
    Probe, ///< Asks for an Ack.
    Ack, ///< Answers Probe, or ProbeRequest once the target has answered.
    ProbeRequest, ///< Asks the receiver to probe `target`.
    Nack, ///< Answers ProbeRequest: the target has not answered yet.
    Join, ///< Asks for the members after `pageAfter`.
    JoinReply, ///< One page of members; an empty `pageAfter` marks the last page.
    Updates, ///< Carries news alone.
    Report ///< Carries a report alone.
};

/// The content of one datagram.
struct MembershipMessage
{
    MessageKind kind = MessageKind::Probe;
    std::uint64_t sequence = 0; ///< An answer repeats that of its request.
    MemberUpdate sender;
    VmId target;
    VmId pageAfter;
    Revision configRevision; ///< The sender's own.
    bool describeYourself = false; ///< The sender does not know the receiver's description.
    std::vector<MemberUpdate> updates;
    std::string report; ///< Of another part of the program; the membership does not read it.

    bool operator==(const MembershipMessage &) const = default;
};

/// Encodes the message. The result may exceed maximumDatagramBytes where the news were not chosen by
/// updateSizeBound().
std::string encodeMessage(const MembershipMessage &message);

/// Decodes a datagram; nothing where it is malformed, of another version or too long.
std::optional<MembershipMessage> decodeMessage(std::string_view datagram);

/// An upper bound of the bytes that this piece of news takes in a message.
std::size_t updateSizeBound(const MemberUpdate &update);

/// An upper bound of the bytes of the message with the news that it carries.
std::size_t messageSizeBound(const MembershipMessage &message);

} // namespace hickoryshore
