// hickoryshore-fake-upstream: one or more stand-in replicas on consecutive ports of one address.

#include "upstream_state.h"

#include "hickoryshore/http/http_server.h"

#include <cstdlib>
#include <memory>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 19101, "Port of the first replica");
ABSL_FLAG(int, replicas, 1, "Number of replicas, on consecutive ports");
ABSL_FLAG(int, slots, 2, "Requests that a replica runs at once");
ABSL_FLAG(int, service_micros, 2000, "Median service time in microseconds");
ABSL_FLAG(double, spread, 0.3, "Standard deviation of the logarithm of the service time");
ABSL_FLAG(int, threads, 64, "Connections that a replica serves at once");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the service times");

namespace hickoryshore::fakes {

namespace {

struct RunningReplica
{
    std::unique_ptr<UpstreamState> state;
    std::unique_ptr<HttpServer> server;
};

RunningReplica startReplica(const std::string &address, int port)
{
    UpstreamBehaviour behaviour;
    behaviour.slots = absl::GetFlag(FLAGS_slots);
    behaviour.serviceMicros = absl::GetFlag(FLAGS_service_micros);
    behaviour.spread = absl::GetFlag(FLAGS_spread);
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(port);
    RunningReplica replica;
    replica.state = std::make_unique<UpstreamState>(address + ':' + std::to_string(port), behaviour, seed);
    replica.server = std::make_unique<HttpServer>(
        HttpServerSettings{.address = address, .port = port, .threads = absl::GetFlag(FLAGS_threads)},
        [state = replica.state.get()](const HttpRequest &request) {
            return state->handle(request);
        });
    return replica;
}

} // namespace

} // namespace hickoryshore::fakes

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in replicas for tests; PUT /fault switches faults on");
    absl::ParseCommandLine(argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::vector<hickoryshore::fakes::RunningReplica> replicas;
    for (int number = 0; number < absl::GetFlag(FLAGS_replicas); ++number) {
        replicas.push_back(
            hickoryshore::fakes::startReplica(absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_port) + number));
    }
    int received = 0;
    sigwait(&signals, &received);
    // The servers hold nothing that has to be kept, and stopping each in turn would take seconds.
    std::quick_exit(0);
}
