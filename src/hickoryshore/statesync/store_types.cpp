#include "hickoryshore/statesync/store_types.h"

namespace hickoryshore {

std::string storeRevisionText(const StoreRevision &revision)
{
    return std::to_string(revision.era) + "." + std::to_string(revision.number);
}

} // namespace hickoryshore
