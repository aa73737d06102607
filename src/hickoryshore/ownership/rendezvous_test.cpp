#include "hickoryshore/ownership/rendezvous.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace hickoryshore;

namespace {

std::vector<OwnerCandidate> makeCandidates(int count)
{
    std::vector<OwnerCandidate> candidates;
    for (int number = 0; number < count; ++number) {
        candidates.push_back({VmId{"vm-" + std::to_string(number)}, DataCentreId{number % 2 == 0 ? "lima" : "cusco"}});
    }
    return candidates;
}

} // namespace

BOOST_AUTO_TEST_CASE(order_of_the_candidates_does_not_matter)
{
    auto candidates = makeCandidates(16);
    const std::vector<DataCentreId> replicaDataCentres{DataCentreId{"lima"}};
    const auto before = rankOwners(ShardId{"a/1"}, replicaDataCentres, candidates, 3);
    std::ranges::reverse(candidates);
    BOOST_TEST((rankOwners(ShardId{"a/1"}, replicaDataCentres, candidates, 3) == before));
}

BOOST_AUTO_TEST_CASE(only_the_shards_of_a_lost_vm_move)
{
    const auto candidates = makeCandidates(16);
    for (int shard = 0; shard < 200; ++shard) {
        const ShardId name{"a/" + std::to_string(shard)};
        const auto owners = rankOwners(name, {}, candidates, 2);
        for (std::size_t lost = 0; lost < candidates.size(); ++lost) {
            auto remaining = candidates;
            remaining[lost].usable = false;
            const auto now = rankOwners(name, {}, remaining, 1).front();
            const auto expected = candidates[lost].vm == owners[0] ? owners[1] : owners[0];
            BOOST_TEST((now == expected));
        }
    }
}

BOOST_AUTO_TEST_CASE(candidates_in_a_data_centre_with_a_replica_go_first)
{
    const auto candidates = makeCandidates(16);
    const std::vector<DataCentreId> replicaDataCentres{DataCentreId{"cusco"}};
    const auto owners = rankOwners(ShardId{"a/1"}, replicaDataCentres, candidates, 8);
    for (const VmId &owner : owners) {
        const auto candidate = std::ranges::find(candidates, owner, &OwnerCandidate::vm);
        BOOST_TEST((candidate->dataCentre == replicaDataCentres.front()));
    }
}

BOOST_AUTO_TEST_CASE(no_candidate_gives_no_owner)
{
    BOOST_TEST(rankOwners(ShardId{"a/1"}, {}, {}, 2).empty());
}
