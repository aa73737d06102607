// hickoryshore-fake-platform: the stand-in for the platform's key-value service and VM list.
#include "hickoryshore/http/http_server.h"

#include "key_value_service.h"

#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(int, port, 8500, "port to listen on");

namespace {

constexpr int serverThreads = 256;

int serveUntilSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Blocked before the server starts its threads, so that only sigwait sees them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    hickoryshore::fakes::KeyValueService service;
    const hickoryshore::HttpServer server({.address = absl::GetFlag(FLAGS_address),
                                           .port = absl::GetFlag(FLAGS_port),
                                           .threads = serverThreads,
                                           .largestBody = std::size_t{2} * 1024 * 1024},
                                          [&service](const hickoryshore::HttpRequest &request) {
                                              return service.handle(request);
                                          });
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("stand-in for the platform's key-value service and VM list, for tests");
    absl::ParseCommandLine(argc, argv);
    try {
        return serveUntilSignal();
    } catch (const std::exception &error) {
        std::cerr << "hickoryshore-fake-platform: " << error.what() << '\n';
        return 1;
    }
}
