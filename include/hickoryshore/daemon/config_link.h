// How VMs exchange configurations: the messages, and the fetches that wait for an answer.
#pragma once

#include "hickoryshore/configservice/config_service.h"
#include "hickoryshore/eventloop/event_loop.h"

#include "query.pb.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hickoryshore {

/// Returns the message that carries what a VM tells of its configuration.
wire::ConfigChunks toWire(const PeerConfig &config);

/// Reads it back.
PeerConfig fromWire(const wire::ConfigChunks &message);

/// Returns the message that asks for these chunks.
wire::ConfigFetch makeConfigFetch(std::span<const std::string> hashes);

/// The fetches of this VM that wait for an answer; lives on the control thread.
///
///     ConfigLink link(loop, [&](const VmId &vm, wire::ConfigFetch fetch) { traffic.fetchConfig(vm, fetch); });
///     link.fetch(vm, hashes, [](std::optional<PeerConfig> config) { ... });
///     link.onAnswer(vm, message);
class ConfigLink
{
public:
    using Send = std::function<void(const VmId &, wire::ConfigFetch)>;
    using FetchDone = ConfigServiceHooks::FetchDone;

    ConfigLink(EventLoop &loop, Send send);

    /// Asks a peer; `done` is called once, with nothing after a timeout or while another fetch from it waits.
    void fetch(const VmId &peer, std::span<const std::string> hashes, FetchDone done);

    /// A peer answered.
    void onAnswer(const VmId &peer, const wire::ConfigChunks &message);

private:
    struct Waiting
    {
        std::uint64_t number = 0;
        FetchDone done;
    };

    EventLoop &loop;
    Send send;
    std::map<VmId, Waiting> waiting;
    std::uint64_t lastNumber = 0;
};

} // namespace hickoryshore
