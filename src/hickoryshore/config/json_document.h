// Parses JSON with comments into a tree that records line numbers and keeps duplicate keys.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryshore {

enum class JsonKind { Null, Boolean, Integer, Number, Text, Array, Object };

/// Returns the kind as worded in faults, for instance "an object".
std::string_view jsonKindName(JsonKind kind);

struct JsonMember;

/// One JSON value. Only the field for its kind is set.
struct JsonNode
{
    JsonKind kind = JsonKind::Null;
    int line = 0;
    bool boolean = false;
    double number = 0; ///< Set for both Integer and Number.
    std::string text;
    std::vector<JsonNode> elements;
    std::vector<JsonMember> members;
};

/// One key of an object and its value. A duplicate key gives two members.
struct JsonMember
{
    std::string key;
    int line = 0;
    JsonNode value;
};

/// Thrown if the text is not valid JSON or is nested too deeply. `line` counts from 1.
class JsonSyntaxError : public std::runtime_error
{
public:
    JsonSyntaxError(int line, const std::string &message) : std::runtime_error(message), line(line)
    { }

    int line;
};

/// Throws JsonSyntaxError if the text is invalid.
JsonNode parseJsonDocument(std::string_view text);

} // namespace hickoryshore
