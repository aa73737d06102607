// Feeds arbitrary text to the reader of settings: it must report faults and do nothing else.
#include "hickoryshore/settings/daemon_settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hickoryshore;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    try {
        parseDaemonSettings("input.json", text);
    } catch (const SettingsError &) {
        return 0;
    }
    return 0;
}
