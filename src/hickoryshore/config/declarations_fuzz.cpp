// Feeds arbitrary text to the parsers of declarations and heads. A parser must report faults or throw its documented
// exception, nothing else.
#include "hickoryshore/config/publication.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hickoryshore;
    const std::string text(reinterpret_cast<const char *>(data), size);
    const std::vector<DeclarationFile> files{{"input.json", text}};
    const ParsedDeclarations parsed = parseDeclarations(files);
    if (parsed.faults.empty()) {
        // A set without faults must also be publishable and pass the VM's validation.
        planPublication(std::nullopt, parsed.deployment, {.publishId = {"p"}, .author = "fuzz", .time = {}});
    }
    try {
        parseConfigHead(text);
    } catch (const std::invalid_argument &) {
        return 0;
    }
    return 0;
}
