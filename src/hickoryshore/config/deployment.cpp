#include "hickoryshore/config/deployment.h"

#include <algorithm>

namespace hickoryshore {

namespace {

template<typename Object>
const Object *findByName(const std::vector<Object> &objects, std::string_view name)
{
    const auto object = std::ranges::find_if(objects, [name](const Object &candidate) {
        return candidate.name.value == name;
    });
    return object == objects.end() ? nullptr : &*object;
}

} // namespace

const Index *findIndex(const Deployment &deployment, std::string_view name)
{
    return findByName(deployment.indexes, name);
}

const Policy *findPolicy(const Deployment &deployment, std::string_view name)
{
    return findByName(deployment.policies, name);
}

const Caller *findCaller(const Deployment &deployment, std::string_view name)
{
    return findByName(deployment.callers, name);
}

const DataCentre *findDataCentre(const Deployment &deployment, std::string_view name)
{
    return findByName(deployment.dataCentres, name);
}

} // namespace hickoryshore
