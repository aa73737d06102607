#include "object_reader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace hickoryshore {

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr std::string_view nameRule
    = "1 to 64 lower-case letters, digits, '-' or '.', beginning with a letter or a digit";
constexpr double microsecondsPerMillisecond = 1000;

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-'
        || character == '.';
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && text.front() != '-' && text.front() != '.'
        && std::ranges::all_of(text, isNameCharacter);
}

std::string joined(std::span<const std::string_view> words)
{
    std::string text;
    for (const std::string_view word : words) {
        text += (text.empty() ? "" : ", ") + std::string(word);
    }
    return text;
}

std::string numberText(double number)
{
    std::ostringstream text;
    text.precision(std::numeric_limits<double>::digits10);
    text << number;
    return text.str();
}

} // namespace

DeclarationFault faultAt(const SourceLocation &location, std::string problem, std::string allowed)
{
    return {location.file, location.line, location.object, location.path, std::move(problem), std::move(allowed)};
}

ObjectReader::ObjectReader(const JsonNode &object, SourceLocation location, std::vector<DeclarationFault> &faults)
    : object(&object), location(std::move(location)), faults(&faults)
{ }

std::string ObjectReader::name(std::string_view key)
{
    std::string value = this->text(key);
    if (!value.empty() && !isName(value)) {
        this->report(key, '"' + value + "\" is not a name", std::string(nameRule));
    }
    return value;
}

std::string ObjectReader::text(std::string_view key)
{
    const JsonNode *node = this->findRequired(key, JsonKind::Text);
    if (node != nullptr && node->text.empty()) {
        this->report(key, "is empty");
    }
    return node == nullptr ? std::string() : node->text;
}

std::string ObjectReader::choice(std::string_view key, std::span<const std::string_view> choices)
{
    const JsonNode *node = this->find(key);
    if (node == nullptr) {
        return std::string(choices.front());
    }
    if (node->kind != JsonKind::Text || std::ranges::find(choices, node->text) == choices.end()) {
        const std::string given = node->kind == JsonKind::Text ? '"' + node->text + '"' : "the value";
        this->report(key, given + " is unknown", joined(choices));
        return std::string(choices.front());
    }
    return node->text;
}

bool ObjectReader::boolean(std::string_view key, bool defaultValue)
{
    const JsonNode *node = this->find(key);
    if (node == nullptr) {
        return defaultValue;
    }
    if (node->kind != JsonKind::Boolean) {
        this->report(key, "has the wrong type", std::string(jsonKindName(JsonKind::Boolean)));
        return defaultValue;
    }
    return node->boolean;
}

int ObjectReader::integer(std::string_view key, int defaultValue, Range range)
{
    const JsonNode *node = this->findNumber(key, range, true);
    return node == nullptr ? defaultValue : static_cast<int>(node->number);
}

double ObjectReader::number(std::string_view key, double defaultValue, Range range)
{
    const JsonNode *node = this->findNumber(key, range, false);
    return node == nullptr ? defaultValue : node->number;
}

Duration ObjectReader::milliseconds(std::string_view key, Duration defaultValue, Range range)
{
    const JsonNode *node = this->findNumber(key, range, false);
    return node == nullptr ? defaultValue : Duration(std::llround(node->number * microsecondsPerMillisecond));
}

const JsonNode *ObjectReader::requiredArray(std::string_view key)
{
    const JsonNode *node = this->findRequired(key, JsonKind::Array);
    if (node != nullptr && node->elements.empty()) {
        this->report(key, "is empty", "at least one object");
        return nullptr;
    }
    return node;
}

void ObjectReader::finish()
{
    std::set<std::string_view> seen;
    const std::vector<std::string_view> allowed(this->requestedKeys.begin(), this->requestedKeys.end());
    for (const JsonMember &member : this->object->members) {
        SourceLocation at = this->locationOf(member.key);
        at.line = member.line;
        if (!seen.insert(member.key).second) {
            this->faults->push_back(faultAt(at, "the key appears twice in one object"));
        } else if (!this->requestedKeys.contains(member.key)) {
            this->faults->push_back(faultAt(at, "unknown key", joined(allowed)));
        }
    }
}

SourceLocation ObjectReader::locationOf(std::string_view key) const
{
    SourceLocation result = this->location;
    result.path += (result.path.empty() ? "" : ".") + std::string(key);
    const auto member = std::ranges::find(this->object->members, key, &JsonMember::key);
    if (member != this->object->members.end()) {
        result.line = member->value.line;
    }
    return result;
}

void ObjectReader::report(std::string_view key, std::string problem, std::string allowed)
{
    this->faults->push_back(faultAt(this->locationOf(key), std::move(problem), std::move(allowed)));
}

const JsonNode *ObjectReader::find(std::string_view key)
{
    this->requestedKeys.emplace(key);
    const auto member = std::ranges::find(this->object->members, key, &JsonMember::key);
    return member == this->object->members.end() ? nullptr : &member->value;
}

const JsonNode *ObjectReader::findRequired(std::string_view key, JsonKind kind)
{
    const JsonNode *node = this->find(key);
    if (node == nullptr) {
        this->report(key, "is missing", std::string(jsonKindName(kind)));
        return nullptr;
    }
    if (node->kind != kind) {
        this->report(key, "has the wrong type", std::string(jsonKindName(kind)));
        return nullptr;
    }
    return node;
}

const JsonNode *ObjectReader::findNumber(std::string_view key, Range range, bool integerOnly)
{
    const JsonNode *node = this->find(key);
    if (node == nullptr) {
        return nullptr;
    }
    const std::string allowed = std::string(jsonKindName(integerOnly ? JsonKind::Integer : JsonKind::Number)) + " from "
        + numberText(range.minimum) + " to " + numberText(range.maximum);
    const bool rightType = node->kind == JsonKind::Integer || (!integerOnly && node->kind == JsonKind::Number);
    if (!rightType) {
        this->report(key, "has the wrong type", allowed);
        return nullptr;
    }
    if (node->number < range.minimum || node->number > range.maximum) {
        this->report(key, numberText(node->number) + " is out of range", allowed);
        return nullptr;
    }
    return node;
}

} // namespace hickoryshore
