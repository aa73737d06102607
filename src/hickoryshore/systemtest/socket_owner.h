// Finds the process that holds a TCP connection.
//
// A connection to a loopback address bears no address of the process that opened it, so that only the system's
// socket diagnostics tell whose it is.
#pragma once

#include <cstdint>
#include <optional>

#include <netinet/in.h>

namespace hickoryshore {

/// Returns the inode of the end with the address `local` of a connection within this machine. Throws
/// std::system_error where the system gives no diagnostics.
std::optional<std::uint64_t> findSocketInode(const sockaddr_in &local, const sockaddr_in &remote);

/// Whether the process has the socket of this inode open.
bool holdsSocket(int processId, std::uint64_t inode);

} // namespace hickoryshore
