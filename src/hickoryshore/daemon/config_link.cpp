#include "hickoryshore/daemon/config_link.h"

#include <utility>

namespace hickoryshore {

namespace {

constexpr Duration fetchTimeout = std::chrono::seconds(1);

} // namespace

wire::ConfigChunks toWire(const PeerConfig &config)
{
    wire::ConfigChunks message;
    message.set_head(config.headText);
    for (const std::string &text : config.chunks) {
        message.add_chunks()->set_content(text);
    }
    return message;
}

PeerConfig fromWire(const wire::ConfigChunks &message)
{
    PeerConfig config;
    config.headText = message.head();
    for (const wire::ConfigChunk &chunk : message.chunks()) {
        config.chunks.push_back(chunk.content());
    }
    return config;
}

wire::ConfigFetch makeConfigFetch(std::span<const std::string> hashes)
{
    wire::ConfigFetch fetch;
    for (const std::string &hash : hashes) {
        fetch.add_hashes(hash);
    }
    return fetch;
}

ConfigLink::ConfigLink(EventLoop &loop, Send send) : loop(loop), send(std::move(send))
{ }

void ConfigLink::fetch(const VmId &peer, std::span<const std::string> hashes, FetchDone done)
{
    if (this->waiting.contains(peer)) {
        done(std::nullopt);
        return;
    }
    const std::uint64_t number = ++this->lastNumber;
    this->waiting.emplace(peer, Waiting{number, std::move(done)});
    this->send(peer, makeConfigFetch(hashes));
    this->loop.after(fetchTimeout, [this, peer, number] {
        const auto found = this->waiting.find(peer);
        if (found != this->waiting.end() && found->second.number == number) {
            const FetchDone late = std::move(found->second.done);
            this->waiting.erase(found);
            late(std::nullopt);
        }
    });
}

void ConfigLink::onAnswer(const VmId &peer, const wire::ConfigChunks &message)
{
    const auto found = this->waiting.find(peer);
    if (found == this->waiting.end()) {
        return;
    }
    const FetchDone done = std::move(found->second.done);
    this->waiting.erase(found);
    done(fromWire(message));
}

} // namespace hickoryshore
