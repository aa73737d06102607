// Parses and validates the declarations that operators write: JSON with comments, checked together as one set.
//
// A file holds one object or an array of objects. Each object names its kind, "DataCentre", "Policy", "Caller" or
// "Index", and refers to others by name. docs/CONFIGURATION.md lists every key.
#pragma once

#include "hickoryshore/config/deployment.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

/// The name and the text of one declaration file.
struct DeclarationFile
{
    std::string_view fileName;
    std::string_view text;
};

/// One error in a set of declarations.
struct DeclarationFault
{
    std::string file;
    int line = 0; ///< Counts from 1; zero if the fault is not tied to a line.
    std::string object; ///< Kind and name, for instance "Index tablero-vivo"; empty outside an object.
    std::string path; ///< Path within the object, for instance "shards[3].replicas[0].address"; may be empty.
    std::string problem;
    std::string allowed; ///< The allowed values; empty if `problem` already states them.
};

/// Returns the fault as one line for the operator: "FILE:LINE: OBJECT: PATH: PROBLEM (allowed: ALLOWED)".
std::string formatFault(const DeclarationFault &fault);

/// The result of parsing a set of declarations. Use the deployment only if there are no faults.
struct ParsedDeclarations
{
    Deployment deployment;
    std::vector<DeclarationFault> faults; ///< All faults, ordered by file and line.
};

/// Parses the files and validates them as one set. The resulting objects are ordered by name.
ParsedDeclarations parseDeclarations(std::span<const DeclarationFile> files);

} // namespace hickoryshore
