#include "hickoryshore/load/load_settings.h"

#include "hickoryshore/http/http_client.h"

#include <random>
#include <stdexcept>

namespace hickoryshore {

std::vector<PlannedQuery> planQueries(const LoadSettings &settings, const std::string &idPrefix)
{
    std::mt19937_64 random(settings.seed);
    std::exponential_distribution<double> gap(settings.rate);
    std::bernoulli_distribution nonIdempotent(settings.nonIdempotentShare);
    const double end = std::chrono::duration<double>(settings.duration).count();
    std::vector<PlannedQuery> planned;
    for (double seconds = gap(random); seconds < end; seconds += gap(random)) {
        const RequestId id{idPrefix + std::to_string(planned.size())};
        planned.push_back({.id = id,
                           .text = "load " + id.value,
                           .intended = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
                           .idempotent = !nonIdempotent(random)});
    }
    return planned;
}

void checkLoadSettings(const LoadSettings &settings)
{
    const auto require = [](bool condition, const char *message) {
        if (!condition) {
            throw std::invalid_argument(message);
        }
    };
    parseHostPort(settings.entry);
    require(!settings.index.value.empty(), "--index is missing");
    require(!settings.caller.value.empty(), "--caller is empty");
    require(settings.rate > 0, "--rate must be above 0");
    require(settings.duration > Duration(0), "--duration must be above 0");
    require(settings.concurrency > 0, "--concurrency must be above 0");
    require(settings.deadline > Duration(0), "--deadline-ms must be above 0");
    require(settings.nonIdempotentShare >= 0 && settings.nonIdempotentShare <= 1,
            "--non-idempotent-share must be between 0 and 1");
}

} // namespace hickoryshore
