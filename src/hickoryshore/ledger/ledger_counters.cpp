#include "hickoryshore/ledger/ledger_counters.h"

namespace hickoryshore {

LedgerCounters &LedgerCounters::operator+=(const LedgerCounters &other)
{
    this->reads += other.reads;
    this->writes += other.writes;
    this->intents += other.intents;
    this->outcomes += other.outcomes;
    this->conflicts += other.conflicts;
    this->unknownWrites += other.unknownWrites;
    this->failures += other.failures;
    this->refusedUnrecorded += other.refusedUnrecorded;
    this->refusedPartitionFull += other.refusedPartitionFull;
    this->answeredFromRecord += other.answeredFromRecord;
    return *this;
}

} // namespace hickoryshore
