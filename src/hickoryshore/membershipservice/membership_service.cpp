#include "hickoryshore/membershipservice/membership_service.h"
#include "hickoryshore/clock/clock.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <optional>
#include <random>
#include <system_error>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickoryshore {

namespace {

constexpr Duration viewRefresh = std::chrono::seconds(1);
constexpr int datagramsPerWakeUp = 256;
constexpr int receiveBufferBytes = 1 << 20;

std::optional<sockaddr_in> parseAddress(std::string_view ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, std::string(ip).c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    return address;
}

std::optional<sockaddr_in> parseAddress(std::string_view ipAndPort)
{
    const std::size_t colon = ipAndPort.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = ipAndPort.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return parseAddress(ipAndPort.substr(0, colon), port);
}

std::string formatAddress(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

/// Opens a datagram socket that does not block. Throws std::system_error.
int openSocket(const MembershipServiceSettings &settings)
{
    const std::string &ip = settings.bindAddress.empty() ? settings.self.address : settings.bindAddress;
    const auto address = parseAddress(ip, settings.self.membershipPort);
    if (!address) {
        throw std::system_error(EINVAL, std::generic_category(), "membership address " + ip);
    }
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "membership socket");
    }
    // A burst that waits while this VM is paused should not push out the news behind it.
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address)) != 0) {
        const int error = errno;
        close(descriptor);
        throw std::system_error(error, std::generic_category(), "bind to " + formatAddress(*address));
    }
    return descriptor;
}

std::uint64_t drawProcessId()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> anyButZero(1);
    return anyButZero(device);
}

Member startedNow(Member self)
{
    self.processId = drawProcessId();
    self.started = wallNow();
    return self;
}

} // namespace

MembershipService::MembershipService(EventLoop &loop, MembershipServiceSettings settings, MembershipHooks hooks)
    : loop(loop),
      hooks(std::move(hooks)),
      descriptor(openSocket(settings)),
      table(settings.protocol, startedNow(std::move(settings.self)), drawProcessId()),
      currentView(std::make_shared<MembershipView>())
{
    this->loop.watch(this->descriptor, [this] {
        this->receive();
    });
    this->loop.every(viewRefresh, [this] {
        this->publishView();
    });
    this->table.start(monotonicNow(), std::move(settings.seeds), this->actions);
    this->perform();
}

MembershipService::~MembershipService()
{
    close(this->descriptor);
}

void MembershipService::receive()
{
    std::array<char, maximumDatagramBytes + 1> buffer;
    for (int count = 0; count < datagramsPerWakeUp; ++count) {
        sockaddr_in sender{};
        socklen_t senderSize = sizeof(sender);
        const ssize_t size = recvfrom(
            this->descriptor, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&sender), &senderSize);
        if (size < 0) {
            break;
        }
        ++this->counters.messagesReceived;
        this->counters.bytesReceived += static_cast<std::uint64_t>(size);
        const auto message = decodeMessage({buffer.data(), static_cast<std::size_t>(size)});
        if (!message) {
            ++this->counters.malformed;
            continue;
        }
        if (message->kind != MessageKind::Report) {
            this->table.onMessage(monotonicNow(), formatAddress(sender), *message, this->actions);
        } else if (this->hooks.onReport) {
            this->hooks.onReport(message->report);
        }
    }
    this->perform();
}

void MembershipService::perform()
{
    for (const MembershipAction &action : std::exchange(this->actions, {})) {
        this->perform(action);
    }
    if (this->viewChanged) {
        this->publishView();
    }
    this->schedule();
}

void MembershipService::perform(const MembershipAction &action)
{
    if (const auto *send = std::get_if<SendAction>(&action)) {
        this->sendDatagram(send->address, encodeMessage(send->message));
    } else if (const auto *changed = std::get_if<MemberChangedAction>(&action)) {
        this->viewChanged = true;
        if (this->hooks.onMemberChanged) {
            this->hooks.onMemberChanged(*changed);
        }
    } else if (const auto *heard = std::get_if<RevisionReceivedAction>(&action)) {
        if (this->hooks.onRevisionHeard) {
            this->hooks.onRevisionHeard(heard->revision, heard->from);
        }
    } else if (std::holds_alternative<SupersededAction>(action) && this->hooks.onSuperseded) {
        this->hooks.onSuperseded();
    }
}

void MembershipService::sendReport(std::string_view report, std::span<const Member> members)
{
    const std::string datagram = encodeMessage(this->table.makeReport(report));
    if (datagram.size() > maximumDatagramBytes) {
        ++this->counters.sendErrors;
        return;
    }
    for (const Member &member : members) {
        this->sendDatagram(membershipAddress(member), datagram);
    }
}

void MembershipService::sendDatagram(const std::string &to, const std::string &datagram)
{
    const auto address = parseAddress(to);
    if (!address
        || sendto(this->descriptor,
                  datagram.data(),
                  datagram.size(),
                  0,
                  reinterpret_cast<const sockaddr *>(&*address),
                  sizeof(*address))
            < 0) {
        ++this->counters.sendErrors;
        return;
    }
    ++this->counters.messagesSent;
    this->counters.bytesSent += datagram.size();
}

void MembershipService::publishView()
{
    this->viewChanged = false;
    auto view = std::make_shared<const MembershipView>(this->table.view());
    if (view->members == this->currentView->members) {
        return;
    }
    this->currentView = std::move(view);
    if (this->hooks.onView) {
        this->hooks.onView(this->currentView);
    }
}

void MembershipService::schedule()
{
    const Instant next = this->table.nextTimer();
    if (this->wakeUpPending && this->scheduled <= next) {
        return;
    }
    this->wakeUpPending = true;
    this->scheduled = next;
    this->loop.after(next - monotonicNow(), [this, next] {
        if (next == this->scheduled) {
            this->wakeUpPending = false;
        }
        this->table.onTimer(monotonicNow(), this->actions);
        this->perform();
    });
}

void MembershipService::setConfigRevision(Revision revision)
{
    this->table.setConfigRevision(revision);
}

void MembershipService::seedFromList(std::span<const ListedMember> list)
{
    this->table.mergePlatformList(monotonicNow(), list, this->actions);
    this->perform();
}

void MembershipService::leave()
{
    this->table.leave(monotonicNow(), this->actions);
    this->viewChanged = true;
    this->perform();
}

std::shared_ptr<const MembershipView> MembershipService::view() const
{
    return this->currentView;
}

const MembershipTraffic &MembershipService::traffic() const
{
    return this->counters;
}

const MembershipCounts &MembershipService::counts() const
{
    return this->table.counts();
}

int MembershipService::localHealth() const
{
    return this->table.localHealth();
}

} // namespace hickoryshore
