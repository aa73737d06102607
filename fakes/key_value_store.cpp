#include "key_value_store.h"

#include <algorithm>

namespace hickoryshore::fakes {

std::optional<Entry> KeyValueStore::read(std::string_view key, Instant now)
{
    this->expireSessions(now);
    const auto &source = this->staleEntries.has_value() ? *this->staleEntries : this->entries;
    const auto found = source.find(key);
    return found == source.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::string> KeyValueStore::keys(std::string_view prefix, Instant now)
{
    this->expireSessions(now);
    std::vector<std::string> found;
    for (auto entry = this->entries.lower_bound(prefix);
         entry != this->entries.end() && entry->first.starts_with(prefix);
         ++entry) {
        found.push_back(entry->first);
    }
    return found;
}

bool KeyValueStore::write(const WriteRequest &request, Instant now)
{
    this->expireSessions(now);
    const auto found = this->entries.find(request.key);
    const std::uint64_t index = found == this->entries.end() ? 0 : found->second.modifyIndex;
    const std::string holder = found == this->entries.end() ? std::string() : found->second.session;
    if (request.expectedIndex.has_value() && *request.expectedIndex != index) {
        return false;
    }
    if (!request.acquire.empty()) {
        const bool free = holder.empty() || holder == request.acquire;
        if (!free || !this->sessions.contains(request.acquire)) {
            return false;
        }
    }
    if (!request.release.empty() && holder != request.release) {
        return false;
    }
    std::string session = request.acquire.empty() ? holder : request.acquire;
    if (!request.release.empty()) {
        session.clear();
    }
    this->entries[request.key] = {request.value, ++this->lastIndex, std::move(session)};
    return true;
}

bool KeyValueStore::remove(std::string_view key, std::optional<std::uint64_t> expectedIndex, Instant now)
{
    this->expireSessions(now);
    const auto found = this->entries.find(key);
    const std::uint64_t index = found == this->entries.end() ? 0 : found->second.modifyIndex;
    if (expectedIndex.has_value() && *expectedIndex != index) {
        return false;
    }
    if (found != this->entries.end()) {
        this->entries.erase(found);
        ++this->lastIndex;
    }
    return true;
}

std::string KeyValueStore::createSession(Duration timeToLive, Instant now)
{
    std::string session = "session-" + std::to_string(++this->lastSession);
    this->sessions[session] = {timeToLive, now + timeToLive};
    return session;
}

bool KeyValueStore::renewSession(const std::string &session, Instant now)
{
    this->expireSessions(now);
    const auto found = this->sessions.find(session);
    if (found == this->sessions.end()) {
        return false;
    }
    found->second.expiry = now + found->second.timeToLive;
    return true;
}

void KeyValueStore::registerVm(RegisteredVm vm, Instant now)
{
    std::string node = vm.node;
    this->vmChanges.push_back({now, std::move(node), std::move(vm)});
}

void KeyValueStore::deregisterVm(const std::string &node, Instant now)
{
    this->vmChanges.push_back({now, node, std::nullopt});
}

std::vector<RegisteredVm> KeyValueStore::vms(Instant now)
{
    std::size_t due = 0;
    while (due < this->vmChanges.size() && this->vmChanges[due].at + this->listLag <= now) {
        const VmChange &change = this->vmChanges[due];
        if (change.vm.has_value()) {
            this->listedVms[change.node] = *change.vm;
        } else {
            this->listedVms.erase(change.node);
        }
        ++due;
    }
    this->vmChanges.erase(this->vmChanges.begin(), this->vmChanges.begin() + static_cast<std::ptrdiff_t>(due));
    std::vector<RegisteredVm> result;
    for (const auto &[node, vm] : this->listedVms) {
        result.push_back(vm);
    }
    return result;
}

void KeyValueStore::setListLag(Duration lag)
{
    this->listLag = lag;
}

void KeyValueStore::setStaleReads(bool stale)
{
    if (!stale) {
        this->staleEntries.reset();
    } else if (!this->staleEntries.has_value()) {
        this->staleEntries = this->entries;
    }
}

void KeyValueStore::expireSessions(Instant now)
{
    std::erase_if(this->sessions, [now](const auto &item) {
        return item.second.expiry <= now;
    });
    for (auto &[key, entry] : this->entries) {
        if (!entry.session.empty() && !this->sessions.contains(entry.session)) {
            entry.session.clear();
            entry.modifyIndex = ++this->lastIndex;
        }
    }
}

} // namespace hickoryshore::fakes
