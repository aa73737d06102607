#include "hickoryshore/config/deployment_diff.h"

#include "hickoryshore/config/canonical_form.h"

#include <map>

#include <nlohmann/json.hpp>

namespace hickoryshore {

namespace {

using nlohmann::json;

/// Converts an array of objects into an object keyed by one of their fields, so that the order is ignored.
json keyByField(const json &array, const char *field)
{
    json object = json::object();
    for (json element : array) {
        const std::string key = element.at(field).get<std::string>();
        element.erase(field);
        object[key] = std::move(element);
    }
    return object;
}

json comparableForm(json object)
{
    if (object.contains("shards")) {
        object["shards"] = keyByField(object["shards"], "name");
        for (json &shard : object["shards"]) {
            shard["replicas"] = keyByField(shard["replicas"], "address");
        }
    }
    return object;
}

std::map<std::string, json> comparableObjects(const Deployment &deployment)
{
    std::map<std::string, json> objects;
    for (const nlohmann::ordered_json &object : canonicalObjects(deployment)) {
        const std::string name = object.at("kind").get<std::string>() + ' ' + object.at("name").get<std::string>();
        objects[name] = comparableForm(json(object));
    }
    return objects;
}

std::string leafText(const json &value)
{
    return value.is_object() ? std::string() : value.dump();
}

void collectChanges(const std::string &object,
                    const std::string &path,
                    const json &before,
                    const json &after,
                    std::vector<DeploymentChange> &changes)
{
    if (!before.is_object() || !after.is_object()) {
        if (before != after) {
            changes.push_back({ChangeKind::Changed, object, path, leafText(before), leafText(after)});
        }
        return;
    }
    const std::string prefix = path.empty() ? path : path + '/';
    for (const auto &[key, value] : before.items()) {
        if (after.contains(key)) {
            collectChanges(object, prefix + key, value, after.at(key), changes);
        } else {
            changes.push_back({ChangeKind::Removed, object, prefix + key, leafText(value), {}});
        }
    }
    for (const auto &[key, value] : after.items()) {
        if (!before.contains(key)) {
            changes.push_back({ChangeKind::Added, object, prefix + key, {}, leafText(value)});
        }
    }
}

} // namespace

std::string_view changeKindName(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return "";
}

std::vector<DeploymentChange> diffDeployments(const Deployment &before, const Deployment &after)
{
    std::vector<DeploymentChange> changes;
    const std::map<std::string, json> oldObjects = comparableObjects(before);
    const std::map<std::string, json> newObjects = comparableObjects(after);
    for (const auto &[name, object] : oldObjects) {
        const auto match = newObjects.find(name);
        if (match == newObjects.end()) {
            changes.push_back({ChangeKind::Removed, name, {}, {}, {}});
        } else {
            collectChanges(name, {}, object, match->second, changes);
        }
    }
    for (const auto &[name, object] : newObjects) {
        if (!oldObjects.contains(name)) {
            changes.push_back({ChangeKind::Added, name, {}, {}, {}});
        }
    }
    return changes;
}

} // namespace hickoryshore
