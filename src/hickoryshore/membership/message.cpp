#include "hickoryshore/membership/message.h"

#include "membership.pb.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace hickoryshore {

namespace {

// Tags, lengths and numbers at their longest: process id 9, start 11, incarnation 6, state 2, lengths 6.
constexpr std::size_t newsFixedBytes = 34;
// Three ports of 4 bytes, tags and lengths of three strings and of the description itself.
/// A thousand cores.
constexpr std::uint32_t maximumCapacity = 1'000'000;
constexpr std::size_t descriptionFixedBytes = 28;
// Version, kind, sequence, revision, flag, tags and lengths of two strings.
constexpr std::size_t messageFixedBytes = 40;

// Leaves room for refutations, which go one above what was heard.
constexpr std::uint32_t maximumIncarnation = std::numeric_limits<std::uint32_t>::max() / 2;
constexpr std::uint32_t maximumPort = std::numeric_limits<std::uint16_t>::max();

void encodeNews(const MemberNews &news, wire::MemberNews &out)
{
    out.set_vm(news.vm.value);
    out.set_process_id(news.processId);
    out.set_started_ms(static_cast<std::uint64_t>(news.started.milliseconds));
    out.set_incarnation(news.incarnation);
    out.set_state(static_cast<wire::MemberState>(news.state));
    if (!news.description) {
        return;
    }
    auto &description = *out.mutable_description();
    description.set_address(news.description->address);
    description.set_membership_port(static_cast<std::uint32_t>(news.description->membershipPort));
    description.set_peer_port(static_cast<std::uint32_t>(news.description->peerPort));
    description.set_http_port(static_cast<std::uint32_t>(news.description->httpPort));
    description.set_capacity(static_cast<std::uint32_t>(news.description->capacity));
    description.set_data_centre(news.description->dataCentre.value);
    description.set_region(news.description->region.value);
}

/// Names end up in logs and on status pages: they are short and printable.
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

bool isValid(const wire::MemberNews &news)
{
    const bool identified = !news.vm().empty() && isName(news.vm()) && news.process_id() != 0;
    const bool startFits = news.started_ms() <= std::uint64_t(std::numeric_limits<std::int64_t>::max() - 1);
    const bool stateKnown = wire::MemberState_IsValid(news.state()) && news.incarnation() <= maximumIncarnation;
    return identified && startFits && stateKnown && (!news.has_description() || isValid(news.description()));
}

bool isValid(const wire::MembershipMessage &message)
{
    if (message.version() != membershipVersion || !wire::MembershipMessage::Kind_IsValid(message.kind())) {
        return false;
    }
    if (!isName(message.target()) || !isName(message.page_after())) {
        return false;
    }
    for (const auto &news : message.news()) {
        if (!isValid(news)) {
            return false;
        }
    }
    return isValid(message.sender());
}

MemberNews decodeNews(const wire::MemberNews &news)
{
    MemberNews decoded{.vm = {news.vm()},
                       .processId = news.process_id(),
                       .started = {static_cast<std::int64_t>(news.started_ms())},
                       .incarnation = news.incarnation(),
                       .state = static_cast<MemberState>(news.state())};
    if (news.has_description()) {
        const auto &description = news.description();
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
    encodeNews(message.sender, *out.mutable_sender());
    for (const MemberNews &news : message.news) {
        encodeNews(news, *out.add_news());
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
                              .sender = decodeNews(in.sender()),
                              .target = {in.target()},
                              .pageAfter = {in.page_after()},
                              .configRevision = {in.config_revision()},
                              .describeYourself = in.describe_yourself()};
    for (const auto &news : in.news()) {
        message.news.push_back(decodeNews(news));
    }
    message.report = in.report();
    return message;
}

std::size_t newsSizeBound(const MemberNews &news)
{
    std::size_t bound = newsFixedBytes + news.vm.value.size();
    if (news.description) {
        bound += descriptionFixedBytes + news.description->address.size() + news.description->dataCentre.value.size()
            + news.description->region.value.size();
    }
    return bound;
}

std::size_t messageSizeBound(const MembershipMessage &message)
{
    const std::size_t head = messageFixedBytes + message.target.value.size() + message.pageAfter.value.size()
        + message.report.size() + newsSizeBound(message.sender);
    return std::accumulate(message.news.begin(), message.news.end(), head, [](std::size_t sum, const MemberNews &news) {
        return sum + newsSizeBound(news);
    });
}

} // namespace hickoryshore
