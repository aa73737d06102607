#include "hickoryshore/membership/message.h"

#include "membership.pb.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace hickoryshore {

namespace {

// Maximum bytes of tags, lengths and numbers: process id 9, start 11, incarnation 6, state 2, lengths 6.
constexpr std::size_t updateFixedBytes = 34;
/// In thousandths of a core: a thousand cores.
constexpr std::uint32_t maximumCapacity = 1'000'000;
// Three ports of 4 bytes; tags and lengths of three strings and of the description.
constexpr std::size_t descriptionFixedBytes = 28;
// Version, kind, sequence, revision, flag, tags and lengths of two strings.
constexpr std::size_t messageFixedBytes = 40;

// Leaves room for refutations, which use one more than the received incarnation.
constexpr std::uint32_t maximumIncarnation = std::numeric_limits<std::uint32_t>::max() / 2;
constexpr std::uint32_t maximumPort = std::numeric_limits<std::uint16_t>::max();

void encodeUpdate(const MemberUpdate &update, wire::MemberNews &out)
{
    out.set_vm(update.vm.value);
    out.set_process_id(update.processId);
    out.set_started_ms(static_cast<std::uint64_t>(update.started.milliseconds));
    out.set_incarnation(update.incarnation);
    out.set_state(static_cast<wire::MemberState>(update.state));
    if (!update.description) {
        return;
    }
    auto &description = *out.mutable_description();
    description.set_address(update.description->address);
    description.set_membership_port(static_cast<std::uint32_t>(update.description->membershipPort));
    description.set_peer_port(static_cast<std::uint32_t>(update.description->peerPort));
    description.set_http_port(static_cast<std::uint32_t>(update.description->httpPort));
    description.set_capacity(static_cast<std::uint32_t>(update.description->capacity));
    description.set_data_centre(update.description->dataCentre.value);
    description.set_region(update.description->region.value);
}

/// Names are written to logs and status pages, so they must be short and printable.
bool isName(std::string_view text)
{
    return text.size() <= maximumNameBytes && std::ranges::all_of(text, [](char character) {
               return character > ' ' && character <= '~';
           });
}

bool isValid(const wire::MemberDescription &description)
{
    const bool namesFit = !description.address().empty() && isName(description.address())
        && isName(description.data_centre()) && isName(description.region());
    const bool portsFit = description.membership_port() <= maximumPort && description.peer_port() <= maximumPort
        && description.http_port() <= maximumPort && description.capacity() <= maximumCapacity;
    return namesFit && portsFit && description.membership_port() != 0;
}

bool isValid(const wire::MemberNews &update)
{
    const bool identified = !update.vm().empty() && isName(update.vm()) && update.process_id() != 0;
    const bool startFits = update.started_ms() <= std::uint64_t(std::numeric_limits<std::int64_t>::max() - 1);
    const bool stateKnown = wire::MemberState_IsValid(update.state()) && update.incarnation() <= maximumIncarnation;
    return identified && startFits && stateKnown && (!update.has_description() || isValid(update.description()));
}

bool isValid(const wire::MembershipMessage &message)
{
    if (message.version() != membershipVersion || !wire::MembershipMessage::Kind_IsValid(message.kind())) {
        return false;
    }
    if (!isName(message.target()) || !isName(message.page_after())) {
        return false;
    }
    for (const auto &update : message.news()) {
        if (!isValid(update)) {
            return false;
        }
    }
    return isValid(message.sender());
}

MemberUpdate decodeUpdate(const wire::MemberNews &update)
{
    MemberUpdate decoded{.vm = {update.vm()},
                         .processId = update.process_id(),
                         .started = {static_cast<std::int64_t>(update.started_ms())},
                         .incarnation = update.incarnation(),
                         .state = static_cast<MemberState>(update.state())};
    if (update.has_description()) {
        const auto &description = update.description();
        decoded.description = MemberDescription{.dataCentre = {description.data_centre()},
                                                .region = {description.region()},
                                                .address = description.address(),
                                                .membershipPort = static_cast<int>(description.membership_port()),
                                                .peerPort = static_cast<int>(description.peer_port()),
                                                .httpPort = static_cast<int>(description.http_port()),
                                                .capacity = static_cast<int>(description.capacity())};
    }
    return decoded;
}

} // namespace

std::string encodeMessage(const MembershipMessage &message)
{
    wire::MembershipMessage out;
    out.set_version(membershipVersion);
    out.set_kind(static_cast<wire::MembershipMessage::Kind>(message.kind));
    out.set_sequence(message.sequence);
    out.set_target(message.target.value);
    out.set_page_after(message.pageAfter.value);
    out.set_config_revision(message.configRevision.value);
    out.set_describe_yourself(message.describeYourself);
    encodeUpdate(message.sender, *out.mutable_sender());
    for (const MemberUpdate &update : message.updates) {
        encodeUpdate(update, *out.add_news());
    }
    out.set_report(message.report);
    return out.SerializeAsString();
}

std::optional<MembershipMessage> decodeMessage(std::string_view datagram)
{
    wire::MembershipMessage in;
    if (datagram.size() > maximumDatagramBytes || !in.ParseFromArray(datagram.data(), static_cast<int>(datagram.size()))
        || !isValid(in)) {
        return std::nullopt;
    }
    MembershipMessage message{.kind = static_cast<MessageKind>(in.kind()),
                              .sequence = in.sequence(),
                              .sender = decodeUpdate(in.sender()),
                              .target = {in.target()},
                              .pageAfter = {in.page_after()},
                              .configRevision = {in.config_revision()},
                              .describeYourself = in.describe_yourself()};
    for (const auto &update : in.news()) {
        message.updates.push_back(decodeUpdate(update));
    }
    message.report = in.report();
    return message;
}

std::size_t updateSizeBound(const MemberUpdate &update)
{
    std::size_t bound = updateFixedBytes + update.vm.value.size();
    if (update.description) {
        bound += descriptionFixedBytes + update.description->address.size()
            + update.description->dataCentre.value.size() + update.description->region.value.size();
    }
    return bound;
}

std::size_t messageSizeBound(const MembershipMessage &message)
{
    const std::size_t head = messageFixedBytes + message.target.value.size() + message.pageAfter.value.size()
        + message.report.size() + updateSizeBound(message.sender);
    return std::accumulate(
        message.updates.begin(), message.updates.end(), head, [](std::size_t sum, const MemberUpdate &update) {
            return sum + updateSizeBound(update);
        });
}

} // namespace hickoryshore
