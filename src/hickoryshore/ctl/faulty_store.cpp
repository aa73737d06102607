#include "faulty_store.h"

#include <algorithm>
#include <array>

namespace hickoryshore {

namespace {

/// What happens to one write besides its normal course.
enum class WriteFault { None, LostAfterEffect, LostWithoutEffect, EffectLater, NotReached };

constexpr std::array writeFaults{WriteFault::None,
                                 WriteFault::None,
                                 WriteFault::None,
                                 WriteFault::None,
                                 WriteFault::None,
                                 WriteFault::None,
                                 WriteFault::LostAfterEffect,
                                 WriteFault::LostAfterEffect,
                                 WriteFault::LostWithoutEffect,
                                 WriteFault::EffectLater,
                                 WriteFault::NotReached};

/// How many states a read may lie behind.
constexpr std::array<std::size_t, 5> stalenesses{0, 0, 0, 1, 2};

} // namespace

FaultyStore::State FaultyStore::current(std::string_view key) const
{
    const auto states = this->versions.find(key);
    return states == this->versions.end() || states->second.empty() ? std::nullopt : states->second.back();
}

std::vector<std::string> FaultyStore::currentKeys(std::string_view prefix) const
{
    std::vector<std::string> keys;
    for (const auto &[key, states] : this->versions) {
        if (key.starts_with(prefix) && this->current(key).has_value()) {
            keys.push_back(key);
        }
    }
    return keys;
}

bool FaultyStore::apply(const ConditionalWrite &write)
{
    const State before = this->current(write.key);
    if (before.value_or(StoredValue{}).modifyIndex != write.expectedIndex) {
        return false;
    }
    std::vector<State> &states = this->versions[write.key];
    if (!write.value.has_value()) {
        states.push_back(std::nullopt);
    } else if (!before.has_value() || before->value != *write.value) {
        states.push_back(StoredValue{*write.value, ++this->lastIndex});
    }
    this->onChange();
    return true;
}

void FaultyStore::applyDelayed()
{
    for (const ConditionalWrite &write : std::exchange(this->delayed, {})) {
        this->apply(write);
    }
}

bool FaultyStore::mayFail()
{
    constexpr int all = 100;
    return this->faultPercent >= all || (this->faultPercent > 0 && this->random(all) < this->faultPercent);
}

FaultyStore::State FaultyStore::staleState(const std::vector<State> &states)
{
    if (states.empty()) {
        return std::nullopt;
    }
    const std::size_t staleness
        = this->mayFail() ? stalenesses.at(static_cast<std::size_t>(this->random(std::ssize(stalenesses)))) : 0;
    return states[states.size() - 1 - std::min(staleness, states.size() - 1)];
}

FaultyStore::State FaultyStore::get(std::string_view key)
{
    this->beforeCall();
    if (this->mayFail() && this->random(8) == 0) {
        throw PlatformError("down");
    }
    const auto states = this->versions.find(key);
    return states == this->versions.end() ? std::nullopt : this->staleState(states->second);
}

std::vector<std::string> FaultyStore::listKeys(std::string_view prefix)
{
    this->beforeCall();
    if (this->mayFail() && this->random(8) == 0) {
        throw PlatformError("down");
    }
    std::vector<std::string> keys;
    for (const auto &[key, states] : this->versions) {
        if (key.starts_with(prefix) && this->staleState(states).has_value()) {
            keys.push_back(key);
        }
    }
    return keys;
}

WriteResult FaultyStore::write(const ConditionalWrite &write)
{
    this->beforeCall();
    const WriteFault fault = this->mayFail()
        ? writeFaults.at(static_cast<std::size_t>(this->random(std::ssize(writeFaults))))
        : WriteFault::None;
    switch (fault) {
    case WriteFault::NotReached:
        throw PlatformError("down");
    case WriteFault::LostWithoutEffect:
        return WriteResult::Unknown;
    case WriteFault::EffectLater:
        this->delayed.push_back(write);
        return WriteResult::Unknown;
    case WriteFault::LostAfterEffect:
        this->apply(write);
        return WriteResult::Unknown;
    case WriteFault::None:
        break;
    }
    return this->apply(write) ? WriteResult::Applied : WriteResult::Conflict;
}

ConfigStore FaultyStore::hooks()
{
    return {.get =
                [this](std::string_view key) {
                    return this->get(key);
                },
            .compareAndSwap =
                [this](std::string_view key, std::string_view value, std::uint64_t index) {
                    return this->write({std::string(key), std::string(value), index});
                },
            .remove =
                [this](std::string_view key, std::uint64_t index) {
                    return this->write({std::string(key), std::nullopt, index});
                },
            .listKeys =
                [this](std::string_view prefix) {
                    return this->listKeys(prefix);
                },
            .pause =
                [this] {
                    if (this->random(2) == 0) {
                        this->applyDelayed();
                    }
                }};
}

std::vector<ConfigHead> FaultyStore::allHeads() const
{
    std::vector<ConfigHead> heads;
    const auto states = this->versions.find(configHeadKey);
    if (states != this->versions.end()) {
        for (const State &state : states->second) {
            heads.push_back(parseConfigHead(state.value().value));
        }
    }
    return heads;
}

} // namespace hickoryshore
