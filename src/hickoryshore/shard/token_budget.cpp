#include "hickoryshore/shard/token_budget.h"

#include <algorithm>

namespace hickoryshore {

TokenBudget::TokenBudget(double earnedPerSubRequest, double reserve)
    : earnedPerSubRequest(earnedPerSubRequest), reserve(reserve), tokens(reserve)
{ }

void TokenBudget::earn()
{
    this->refill(this->earnedPerSubRequest);
}

void TokenBudget::refill(double added)
{
    this->tokens = std::min(this->tokens + added, this->reserve);
}

bool TokenBudget::canSpend(double minReserveShare) const
{
    return this->earnedPerSubRequest > 0.0 && this->tokens >= 1.0 + minReserveShare * this->reserve;
}

bool TokenBudget::trySpend(double minReserveShare)
{
    if (!this->canSpend(minReserveShare)) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

void TokenBudget::setEarning(double earnedPerSubRequest)
{
    this->earnedPerSubRequest = earnedPerSubRequest;
}

void TokenBudget::setReserve(double reserve)
{
    this->reserve = reserve;
    this->tokens = std::min(this->tokens, reserve);
}

} // namespace hickoryshore
