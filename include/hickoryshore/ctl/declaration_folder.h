// Reads a folder of declaration files.
#pragma once

#include "hickoryshore/config/declarations.h"

#include <string>

namespace hickoryshore {

/// Reads all files under the folder whose names end in ".json", and checks them as one set. Throws std::runtime_error
/// where the folder or a file cannot be read.
ParsedDeclarations readDeclarationFolder(const std::string &folder);

} // namespace hickoryshore
