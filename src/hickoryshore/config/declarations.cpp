#include "hickoryshore/config/declarations.h"

#include "declaration_reader.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace hickoryshore {

namespace {

std::string formatLocation(const SourceLocation &location)
{
    return location.file + ':' + std::to_string(location.line);
}

void checkDuplicateNames(DeclarationSet &set)
{
    std::map<std::pair<ObjectKind, std::string_view>, const SourceLocation *> seen;
    for (const NamedLocation &object : set.declared) {
        if (object.name.empty()) {
            continue;
        }
        const auto [first, added]
            = seen.emplace(std::pair(object.kind, std::string_view(object.name)), &object.location);
        if (!added) {
            set.faults.push_back(
                faultAt(object.location, "is declared twice, first at " + formatLocation(*first->second)));
        }
    }
}

std::string declaredNames(const DeclarationSet &set, ObjectKind kind)
{
    constexpr std::size_t maxListedNames = 10;
    std::string text;
    std::size_t count = 0;
    for (const NamedLocation &object : set.declared) {
        if (object.kind == kind && ++count <= maxListedNames) {
            text += (text.empty() ? "" : ", ") + object.name;
        }
    }
    if (text.empty()) {
        return "none is declared";
    }
    return count > maxListedNames ? text + ", ..." : text;
}

void checkReferences(DeclarationSet &set)
{
    std::set<std::pair<ObjectKind, std::string_view>> names;
    for (const NamedLocation &object : set.declared) {
        names.emplace(object.kind, object.name);
    }
    for (const NamedLocation &reference : set.references) {
        if (!reference.name.empty() && !names.contains({reference.kind, reference.name})) {
            std::string problem
                = "no " + std::string(objectKindName(reference.kind)) + " \"" + reference.name + "\" is declared";
            set.faults.push_back(faultAt(reference.location, std::move(problem), declaredNames(set, reference.kind)));
        }
    }
}

void checkReplicaAddresses(DeclarationSet &set)
{
    std::map<std::string_view, const ReplicaLocation *> seen;
    for (const ReplicaLocation &replica : set.replicas) {
        if (replica.address.empty()) {
            continue;
        }
        const auto [first, added] = seen.emplace(replica.address, &replica);
        if (added) {
            continue;
        }
        const ReplicaLocation &other = *first->second;
        const std::string problem = other.shard == replica.shard ? "appears twice in the shard " + replica.shard
                                                                 : "is a replica of the shard " + other.shard + " too";
        set.faults.push_back(faultAt(replica.location, problem + ", at " + formatLocation(other.location)));
    }
}

void checkAnythingIsDeclared(DeclarationSet &set)
{
    if (set.deployment.indexes.empty() && set.faults.empty()) {
        set.faults.push_back({.problem = "the set declares no Index", .allowed = "at least one"});
    }
}

} // namespace

std::string formatFault(const DeclarationFault &fault)
{
    std::string text;
    if (!fault.file.empty()) {
        text += fault.file + ':' + std::to_string(fault.line) + ": ";
    }
    if (!fault.object.empty()) {
        text += fault.object + ": ";
    }
    if (!fault.path.empty()) {
        text += fault.path + ": ";
    }
    text += fault.problem;
    if (!fault.allowed.empty()) {
        text += " (allowed: " + fault.allowed + ')';
    }
    return text;
}

ParsedDeclarations parseDeclarations(std::span<const DeclarationFile> files)
{
    DeclarationSet set;
    for (const DeclarationFile &file : files) {
        readDeclarationFile(file, set);
    }
    checkDuplicateNames(set);
    checkReferences(set);
    checkReplicaAddresses(set);
    checkAnythingIsDeclared(set);
    std::ranges::stable_sort(set.faults, {}, [](const DeclarationFault &fault) {
        return std::tie(fault.file, fault.line);
    });
    std::ranges::sort(set.deployment.dataCentres, {}, &DataCentre::name);
    std::ranges::sort(set.deployment.policies, {}, &Policy::name);
    std::ranges::sort(set.deployment.callers, {}, &Caller::name);
    std::ranges::sort(set.deployment.indexes, {}, &Index::name);
    return {std::move(set.deployment), std::move(set.faults)};
}

} // namespace hickoryshore
