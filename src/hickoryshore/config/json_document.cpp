#include "json_document.h"

#include <iterator>

#include <nlohmann/json.hpp>

namespace hickoryshore {

namespace {

using nlohmann::json;

constexpr std::size_t maxNestingDepth = 16;

/// The line and the last character that the parser has read.
struct ReadPosition
{
    int line = 1;
    char last = '\0';
};

// The standard library and the JSON parser prescribe the member names of the next two classes.
// NOLINTBEGIN(readability-identifier-naming)

/// Iterates over the text and counts the lines read.
class CountingIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    CountingIterator(const char *current, ReadPosition &position) : current(current), position(&position)
    { }

    reference operator*() const
    {
        return *this->current;
    }

    CountingIterator &operator++()
    {
        this->position->last = *this->current;
        if (*this->current == '\n') {
            ++this->position->line;
        }
        ++this->current;
        return *this;
    }

    CountingIterator operator++(int)
    {
        CountingIterator before = *this;
        ++*this;
        return before;
    }

    bool operator==(const CountingIterator &other) const
    {
        return this->current == other.current;
    }

private:
    const char *current;
    ReadPosition *position;
};

/// Builds the tree from the parser's SAX events.
class TreeBuilder
{
public:
    explicit TreeBuilder(const ReadPosition &position) : position(&position)
    { }

    bool null()
    {
        this->add(JsonKind::Null);
        return true;
    }

    bool boolean(bool value)
    {
        this->add(JsonKind::Boolean).boolean = value;
        return true;
    }

    bool number_integer(std::int64_t value)
    {
        this->addNumber(JsonKind::Integer, static_cast<double>(value));
        return true;
    }

    bool number_unsigned(std::uint64_t value)
    {
        this->addNumber(JsonKind::Integer, static_cast<double>(value));
        return true;
    }

    bool number_float(double value, const std::string & /*text*/)
    {
        this->addNumber(JsonKind::Number, value);
        return true;
    }

    bool string(std::string &value)
    {
        this->add(JsonKind::Text).text = std::move(value);
        return true;
    }

    bool binary(std::vector<std::uint8_t> & /*value*/)
    {
        return false;
    }

    bool start_object(std::size_t /*size*/)
    {
        return this->open(JsonKind::Object);
    }

    bool key(std::string &value)
    {
        this->parents.back()->members.push_back({std::move(value), this->position->line, {}});
        return true;
    }

    bool end_object()
    {
        this->parents.pop_back();
        return true;
    }

    bool start_array(std::size_t /*size*/)
    {
        return this->open(JsonKind::Array);
    }

    bool end_array()
    {
        this->parents.pop_back();
        return true;
    }

    bool parse_error(std::size_t /*offset*/, const std::string & /*token*/, const json::exception &error)
    {
        const std::string_view message = error.what();
        const std::size_t start = message.find(": ");
        throw JsonSyntaxError(this->position->line,
                              std::string(start == std::string_view::npos ? message : message.substr(start + 2)));
    }

    JsonNode root;

private:
    JsonNode &add(JsonKind kind)
    {
        JsonNode *node = &this->root;
        if (!this->parents.empty()) {
            JsonNode *parent = this->parents.back();
            const bool inArray = parent->kind == JsonKind::Array;
            node = inArray ? &parent->elements.emplace_back() : &parent->members.back().value;
        }
        node->kind = kind;
        node->line = this->position->line;
        return *node;
    }

    void addNumber(JsonKind kind, double value)
    {
        JsonNode &node = this->add(kind);
        node.number = value;
        // The parser reads one character beyond a number; a newline there has already been counted.
        if (this->position->last == '\n') {
            --node.line;
        }
    }

    bool open(JsonKind kind)
    {
        if (this->parents.size() == maxNestingDepth) {
            throw JsonSyntaxError(this->position->line, "nested too deeply");
        }
        this->parents.push_back(&this->add(kind));
        return true;
    }

    const ReadPosition *position;
    std::vector<JsonNode *> parents; ///< The pointers stay valid because only the innermost open value grows.
};
// NOLINTEND(readability-identifier-naming)

} // namespace

std::string_view jsonKindName(JsonKind kind)
{
    switch (kind) {
    case JsonKind::Null:
        return "null";
    case JsonKind::Boolean:
        return "true or false";
    case JsonKind::Integer:
        return "a whole number";
    case JsonKind::Number:
        return "a number";
    case JsonKind::Text:
        return "a text";
    case JsonKind::Array:
        return "an array";
    case JsonKind::Object:
        return "an object";
    }
    return "";
}

JsonNode parseJsonDocument(std::string_view text)
{
    ReadPosition position;
    TreeBuilder builder(position);
    const CountingIterator first(text.data(), position);
    const CountingIterator last(text.data() + text.size(), position);
    json::sax_parse(first, last, &builder, json::input_format_t::json, true, true);
    return std::move(builder.root);
}

} // namespace hickoryshore
