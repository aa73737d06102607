// Reads the keys of one declared object and reports a fault for each invalid one.
#pragma once

#include "hickoryshore/config/declarations.h"

#include "json_document.h"

#include <limits>
#include <set>

namespace hickoryshore {

/// The location of a value, as reported in faults.
struct SourceLocation
{
    std::string file;
    int line = 0;
    std::string object;
    std::string path;
};

/// The inclusive bounds of a number.
struct Range
{
    double minimum = 0;
    double maximum = 0;
};

/// Reads the keys of one object, each at most once; finish() then reports the keys that were never read. Optional
/// values that are missing or invalid are replaced by their default. A missing name or text reads as empty.
///
///     ObjectReader reader(node, {"a.json", node.line, "Caller boards", ""}, faults);
///     const double weight = reader.number("weight", 1.0, {0.01, 1000});
///     reader.finish();
class ObjectReader
{
public:
    ObjectReader(const JsonNode &object, SourceLocation location, std::vector<DeclarationFault> &faults);

    /// Reads a required name: 1 to 64 lower-case letters, digits, '-' or '.', beginning with a letter or a digit.
    /// Reports an invalid name, but still returns it.
    std::string name(std::string_view key);

    /// Reads a required text that must not be empty.
    std::string text(std::string_view key);

    /// Reads a text that must be one of the choices; the first is the default.
    std::string choice(std::string_view key, std::span<const std::string_view> choices);

    bool boolean(std::string_view key, bool defaultValue);
    int integer(std::string_view key, int defaultValue, Range range);
    double number(std::string_view key, double defaultValue, Range range);

    /// Reads a duration in milliseconds, with or without decimals.
    Duration milliseconds(std::string_view key, Duration defaultValue, Range range);

    /// Returns a required, non-empty array, or nullptr if it is missing, empty or not an array.
    const JsonNode *requiredArray(std::string_view key);

    /// Reports keys that were never read and duplicate keys.
    void finish();

    /// Returns the location of a key's value; its line is that of the object if the key is missing.
    SourceLocation locationOf(std::string_view key) const;

    /// Adds a fault at the key's location.
    void report(std::string_view key, std::string problem, std::string allowed = {});

private:
    const JsonNode *find(std::string_view key);
    const JsonNode *findRequired(std::string_view key, JsonKind kind);
    const JsonNode *findNumber(std::string_view key, Range range, bool integerOnly);

    const JsonNode *object;
    SourceLocation location;
    std::vector<DeclarationFault> *faults;
    std::set<std::string, std::less<>> requestedKeys;
};

/// Creates a fault at the location.
DeclarationFault faultAt(const SourceLocation &location, std::string problem, std::string allowed = {});

} // namespace hickoryshore
