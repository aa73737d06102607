// Drives the policy of one shard by hand: events and the time go in, actions come out. Prints what the owner would do.
#include "hickoryshore/shard/shard_scheduler.h"

#include <chrono>
#include <iostream>

using namespace hickoryshore;
using namespace std::chrono_literals;

namespace {

void print(const std::vector<ShardAction> &actions)
{
    for (const ShardAction &action : actions) {
        if (const auto *dispatch = std::get_if<DispatchAction>(&action)) {
            std::cout << "send attempt " << dispatch->attempt.value << " to " << dispatch->replica.value << '\n';
        } else if (const auto *answer = std::get_if<AnswerAction>(&action)) {
            std::cout << "answer sub-request " << answer->subRequest.value << ": " << resultCodeInfo(answer->code).name
                      << " after " << answer->attempts << " attempts\n";
        }
    }
}

ShardSettings settingsOfTwoReplicas()
{
    ShardSettings settings;
    settings.shard = {"tablero-vivo/00"};
    settings.replicas.resize(2);
    settings.replicas[0].id = {"127.0.0.1:19101"};
    settings.replicas[1].id = {"127.0.0.1:19102"};
    return settings;
}

} // namespace

int main()
{
    ShardScheduler scheduler(settingsOfTwoReplicas(), 1);
    const Instant start{};
    std::vector<ShardAction> actions;

    std::cout << "A sub-request arrives:\n";
    scheduler.submit(start, {.id = {1}, .caller = {"boards"}, .arrival = start, .deadline = start + 100ms}, actions);
    print(actions);
    const AttemptId first = std::get<DispatchAction>(actions.at(0)).attempt;

    std::cout << "The replica sheds it, so that it surely did not run:\n";
    actions.clear();
    scheduler.onReply(start + 1ms, first, {.code = ResultCode::UpstreamShed}, actions);
    print(actions);
    const AttemptId second = std::get<DispatchAction>(actions.at(0)).attempt;

    std::cout << "The other replica answers:\n";
    actions.clear();
    scheduler.onReply(start + 5ms, second, {.code = ResultCode::Ok}, actions);
    print(actions);
}
