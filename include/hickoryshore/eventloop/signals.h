// The signals that a program takes on its event loop.
//
//     const int signals = openSignals({{SIGTERM, SIGINT}});
//     loop.watch(signals, [&] { while (const auto signal = nextSignal(signals)) { ... } });
#pragma once

#include <optional>
#include <span>

namespace hickoryshore {

/// Blocks the signals in this and all later threads, and returns a descriptor that tells of them. The caller closes it.
/// Throws std::system_error.
int openSignals(std::span<const int> signals);

/// The next signal that has come, or nothing.
std::optional<int> nextSignal(int descriptor);

} // namespace hickoryshore
