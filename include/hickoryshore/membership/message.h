// Membership messages and their datagram encoding.
#pragma once

#include "hickoryshore/membership/member.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// Version written by encodeMessage(). Datagrams of another version are rejected as malformed.
inline constexpr std::uint32_t membershipVersion = 1;

/// Maximum size of a datagram in bytes; small enough to avoid fragmentation.
inline constexpr std::size_t maximumDatagramBytes = 1200;

/// Maximum size in bytes of an id, name or address in a datagram.
inline constexpr std::size_t maximumNameBytes = 64;

/// Location, addresses and capacity of a VM.
struct MemberDescription
{
    DataCentreId dataCentre;
    RegionId region;
    std::string address; ///< IP address, without a port.
    int membershipPort = 0;
    int peerPort = 0;
    int httpPort = 0;
    int capacity = 0; ///< Processor capacity in thousandths of a core; zero if not reported.

    bool operator==(const MemberDescription &) const = default;
};

/// A membership update: the state of one VM, as reported by itself or another VM.
struct MemberUpdate
{
    VmId vm;
    std::uint64_t processId = 0;
    WallTime started;
    std::uint32_t incarnation = 0;
    MemberState state = MemberState::Alive;
    std::optional<MemberDescription> description; ///< Omitted if the receiver is expected to have it.

    bool operator==(const MemberUpdate &) const = default;
};

/// Kind of request or reply.
enum class MessageKind {
    Probe, ///< Requests an Ack.
    Ack, ///< Answers Probe, or ProbeRequest once the target has answered.
    ProbeRequest, ///< Asks the receiver to probe `target`.
    Nack, ///< Answers ProbeRequest: the target has not answered yet.
    Join, ///< Requests the members after `pageAfter`.
    JoinReply, ///< One page of members; an empty `pageAfter` marks the last page.
    Updates, ///< Carries only updates.
    Report ///< Carries only a report.
};

/// The content of one datagram.
struct MembershipMessage
{
    MessageKind kind = MessageKind::Probe;
    std::uint64_t sequence = 0; ///< A reply carries the number of its request.
    MemberUpdate sender;
    VmId target;
    VmId pageAfter;
    Revision configRevision; ///< Revision used by the sender.
    bool describeYourself = false; ///< Set if the sender lacks the receiver's description.
    std::vector<MemberUpdate> updates;
    std::string report; ///< Payload of another component; opaque here.

    bool operator==(const MembershipMessage &) const = default;
};

/// Encodes the message. The result may exceed maximumDatagramBytes; check messageSizeBound() before adding updates.
std::string encodeMessage(const MembershipMessage &message);

/// Decodes a datagram. Returns std::nullopt if it is malformed, of another version or too long.
std::optional<MembershipMessage> decodeMessage(std::string_view datagram);

/// Returns an upper bound of the update's encoded size in a message, in bytes.
std::size_t updateSizeBound(const MemberUpdate &update);

/// Returns an upper bound of the message's encoded size in bytes, its updates included.
std::size_t messageSizeBound(const MembershipMessage &message);

} // namespace hickoryshore
