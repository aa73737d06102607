#include "socket_owner.h"

#include <array>
#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <string>
#include <system_error>

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickoryshore {

namespace {

/// The question for one socket to the system's socket diagnostics.
struct DiagnosticRequest
{
    nlmsghdr header{};
    inet_diag_req_v2 body{};
};

/// Its answer, or an error of the same beginning.
struct DiagnosticReply
{
    nlmsghdr header{};
    inet_diag_msg body{};
    std::array<char, 512> attributes{};
};

DiagnosticRequest makeRequest(const sockaddr_in &local, const sockaddr_in &remote)
{
    DiagnosticRequest request;
    request.header.nlmsg_len = sizeof(request);
    request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.header.nlmsg_flags = NLM_F_REQUEST;
    request.body.sdiag_family = AF_INET;
    request.body.sdiag_protocol = IPPROTO_TCP;
    request.body.idiag_states = UINT32_MAX;
    request.body.id.idiag_sport = local.sin_port;
    request.body.id.idiag_dport = remote.sin_port;
    request.body.id.idiag_src[0] = local.sin_addr.s_addr;
    request.body.id.idiag_dst[0] = remote.sin_addr.s_addr;
    request.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    request.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return request;
}

} // namespace

std::optional<std::uint64_t> findSocketInode(const sockaddr_in &local, const sockaddr_in &remote)
{
    const int descriptor = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "socket diagnostics");
    }
    const DiagnosticRequest request = makeRequest(local, remote);
    DiagnosticReply reply;
    const bool answered = send(descriptor, &request, sizeof(request), 0) == static_cast<ssize_t>(sizeof(request))
        && recv(descriptor, &reply, sizeof(reply), 0) > 0;
    close(descriptor);
    if (!answered || reply.header.nlmsg_type != SOCK_DIAG_BY_FAMILY) {
        return std::nullopt;
    }
    return reply.body.idiag_inode;
}

bool holdsSocket(int processId, std::uint64_t inode)
{
    const std::string wanted = "socket:[" + std::to_string(inode) + ']';
    std::error_code error;
    std::filesystem::directory_iterator file("/proc/" + std::to_string(processId) + "/fd", error);
    while (!error && file != std::filesystem::directory_iterator()) {
        // A file may be closed meanwhile; it is then another's.
        std::error_code gone;
        if (std::filesystem::read_symlink(file->path(), gone).string() == wanted) {
            return true;
        }
        file.increment(error);
    }
    return false;
}

} // namespace hickoryshore
