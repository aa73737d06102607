// Publishes a deployment in the platform's service: chunks first, then the head by compare-and-swap.
#pragma once

#include "hickoryshore/config/publication.h"
#include "hickoryshore/keyvalue/key_value_client.h"

#include <functional>

namespace hickoryshore {

/// The calls that publishing needs; they fail as those of KeyValueClient do.
struct ConfigStore
{
    std::function<std::optional<StoredValue>(std::string_view key)> get;
    std::function<WriteResult(std::string_view key, std::string_view value, std::uint64_t expectedIndex)>
        compareAndSwap;
    std::function<WriteResult(std::string_view key, std::uint64_t expectedIndex)> remove;
    std::function<std::vector<std::string>(std::string_view prefix)> listKeys;
    std::function<void()> pause; ///< Called before a failed call is repeated.
};

/// Returns the store behind a client, which must live as long; `pause` sleeps for a moment.
ConfigStore configStoreOf(KeyValueClient &client);

/// The head in force and its index in the service.
struct CurrentHead
{
    ConfigHead head;
    std::uint64_t modifyIndex = 0;
};

/// Reads the head; nothing where nothing was ever published. Throws PlatformError, and std::invalid_argument where the
/// value is damaged.
std::optional<CurrentHead> readCurrentHead(const ConfigStore &store);

/// Reads the deployment that a head names. Throws PlatformError and InconsistentDeployment.
Deployment readDeployment(const ConfigStore &store, const ConfigHead &head);

/// How a publication ended.
enum class PublishResult {
    Applied, ///< It is in force.
    Unchanged, ///< The same deployment is in force already; nothing was written.
    Conflict, ///< Another publication came first; this one never takes effect.
    Unavailable, ///< The service gave no answer, or sweeps kept coming between; this one never takes effect.
    Unknown, ///< The reply was lost and could not be resolved; it may take effect.
};

struct PublishOutcome
{
    PublishResult result = PublishResult::Unavailable;
    Revision revision; ///< The revision that it took, or would have taken.
};

/// Publishes the deployment on top of `base`. A sweep that comes between is no conflict: the publication begins again.
/// Throws InconsistentDeployment.
///
///     const std::optional<CurrentHead> base = readCurrentHead(store);
///     const PublishOutcome outcome = publishDeployment(store, base, deployment, request);
PublishOutcome publishDeployment(const ConfigStore &store,
                                 const std::optional<CurrentHead> &base,
                                 const Deployment &deployment,
                                 const PublicationRequest &request);

} // namespace hickoryshore
