// A token budget: bounds hedges and retries to a share of the sub-requests.
#pragma once

namespace hickoryshore {

/// Earns a fraction of a token for each sub-request and pays one token for each extra attempt.
///
///     TokenBudget budget(0.05, 10.0);
///     budget.earn();                  // for each sub-request
///     if (budget.trySpend()) { ... }  // an extra attempt
class TokenBudget
{
public:
    /// Starts with the given reserve, which also bounds what may be saved up. An earning of zero means that nothing
    /// may ever be spent.
    TokenBudget(double earnedPerSubRequest, double reserve);

    void earn();

    /// Adds tokens that no sub-request earned, up to the reserve.
    void refill(double added);

    /// Takes one token; returns false where less than one would be left besides the part of the reserve, from 0 to 1,
    /// that is kept for more urgent uses.
    bool trySpend(double minReserveShare = 0.0);

    /// Whether trySpend() would succeed.
    bool canSpend(double minReserveShare = 0.0) const;

    /// Changes the earning; what was saved up stays.
    void setEarning(double earnedPerSubRequest);

    /// Changes what may be saved up; tokens beyond it are lost.
    void setReserve(double reserve);

private:
    double earnedPerSubRequest;
    double reserve;
    double tokens;
};

} // namespace hickoryshore
