// A token budget that limits hedges and retries to a share of the sub-requests.
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
    /// Starts with a full reserve, in tokens, which is also the maximum that can be saved. If `earnedPerSubRequest` is
    /// zero, no token can be spent, not even from the reserve.
    TokenBudget(double earnedPerSubRequest, double reserve);

    void earn();

    /// Adds tokens independently of sub-requests, up to the reserve.
    void refill(double added);

    /// Spends one token if at least the given share of the reserve, 0 to 1, is left for more urgent uses. Returns false
    /// if the token could not be spent.
    bool trySpend(double minReserveShare = 0.0);

    /// Returns whether trySpend() would succeed.
    bool canSpend(double minReserveShare = 0.0) const;

    /// Changes the number of tokens earned per sub-request. Saved tokens are kept.
    void setEarning(double earnedPerSubRequest);

    /// Changes the maximum that can be saved. Tokens above it are lost.
    void setReserve(double reserve);

private:
    double earnedPerSubRequest;
    double reserve;
    double tokens;
};

} // namespace hickoryshore
