// Parses the declared objects of one file and collects the names and references that are checked over the whole set.
#pragma once

#include "object_reader.h"

namespace hickoryshore {

enum class ObjectKind { DataCentre, Policy, Caller, Index };

/// Returns the kind's name in declarations, for instance "Index".
std::string_view objectKindName(ObjectKind kind);

/// An object's name and the location of its declaration or of a reference to it.
struct NamedLocation
{
    ObjectKind kind = ObjectKind::Index;
    std::string name;
    SourceLocation location;
};

/// A replica's address, the shard that it serves and the location of the address.
struct ReplicaLocation
{
    std::string address;
    std::string shard;
    SourceLocation location;
};

/// Everything read from the files so far.
struct DeclarationSet
{
    Deployment deployment;
    std::vector<DeclarationFault> faults;
    std::vector<NamedLocation> declared;
    std::vector<NamedLocation> references;
    std::vector<ReplicaLocation> replicas;
};

/// Reads one file and adds its objects and faults to the set.
void readDeclarationFile(const DeclarationFile &file, DeclarationSet &set);

} // namespace hickoryshore
