// The canonical JSON form of declared objects: every field is written out, including defaults. Chunks contain this form
// and `hickoryctl get` prints it.
#pragma once

#include "hickoryshore/config/deployment.h"

#include <nlohmann/json_fwd.hpp>

namespace hickoryshore {

nlohmann::ordered_json canonicalForm(const DataCentre &dataCentre);
nlohmann::ordered_json canonicalForm(const Policy &policy);
nlohmann::ordered_json canonicalForm(const Caller &caller);
nlohmann::ordered_json canonicalForm(const Index &index); ///< "shards" is the last key.
nlohmann::ordered_json canonicalForm(const Shard &shard); ///< An element of "shards".

/// Returns all objects of a deployment, ordered by kind and name.
std::vector<nlohmann::ordered_json> canonicalObjects(const Deployment &deployment);

} // namespace hickoryshore
