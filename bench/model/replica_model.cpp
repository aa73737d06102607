#include "model/replica_model.h"

#include <algorithm>
#include <cmath>

namespace hickoryshore::bench {

namespace {

constexpr std::size_t maxQueueLength = 64;
constexpr double initialColdSlowdown = 5;

double drawUniform(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>()(random);
}

} // namespace

ReplicaModel::ReplicaModel(EventQueue &queue, const ServiceShape &shape, std::uint64_t seed)
    : queue(queue), shape(shape), random(seed)
{ }

void ReplicaModel::receive(Work work)
{
    if (this->faults.failed) {
        return;
    }
    this->usage.lastReceived = this->queue.now();
    const bool shed = drawUniform(this->random) < this->faults.shedShare;
    if (shed || this->waiting.size() >= maxQueueLength) {
        work.reply(this->replyWith(ResultCode::UpstreamShed));
        return;
    }
    this->waiting.push_back(std::move(work));
    this->startQueued();
}

void ReplicaModel::cancel(std::uint64_t key)
{
    std::erase_if(this->waiting, [key](const Work &work) {
        return work.key == key;
    });
    const auto found = this->running.find(key);
    if (found == this->running.end()) {
        this->recordInFlight();
        return;
    }
    const Duration used = this->queue.now() - found->second.start;
    this->usage.slotTime += used;
    this->usage.cancelledSlotTime += used;
    this->running.erase(found);
    this->startQueued();
}

bool ReplicaModel::connect()
{
    if (this->usage.connections >= this->shape.connections) {
        return false;
    }
    ++this->usage.connections;
    this->usage.peakConnections = std::max(this->usage.peakConnections, this->usage.connections);
    return true;
}

void ReplicaModel::disconnect()
{
    --this->usage.connections;
}

void ReplicaModel::startQueued()
{
    while (!this->waiting.empty() && static_cast<int>(this->running.size()) < this->shape.slots) {
        Work next = std::move(this->waiting.front());
        this->waiting.pop_front();
        if (next.deadline <= this->queue.now()) {
            next.reply(this->replyWith(ResultCode::DeadlineBeforeDispatch));
        } else {
            this->start(std::move(next));
        }
    }
    this->recordInFlight();
}

void ReplicaModel::recordInFlight()
{
    const int inFlight = static_cast<int>(this->running.size() + this->waiting.size());
    this->usage.peakInFlight = std::max(this->usage.peakInFlight, inFlight);
    if (this->isAboveSlots) {
        this->usage.aboveSlots += this->queue.now() - this->aboveSlotsSince;
    }
    this->aboveSlotsSince = this->queue.now();
    this->isAboveSlots = inFlight > this->shape.slots;
}

void ReplicaModel::start(Work work)
{
    if (this->onStart) {
        this->onStart(work);
    }
    const std::uint64_t key = work.key;
    this->running.emplace(key, Running{std::move(work), this->queue.now()});
    this->queue.after(this->serviceTime(), [this, key] {
        this->finish(key);
    });
}

void ReplicaModel::finish(std::uint64_t key)
{
    const auto found = this->running.find(key);
    if (found == this->running.end()) {
        return;
    }
    const Running done = std::move(found->second);
    this->running.erase(found);
    const Duration used = this->queue.now() - done.start;
    this->usage.slotTime += used;
    if (this->queue.now() > done.work.deadline) {
        this->usage.lateSlotTime += used;
    }
    if (!this->faults.failed) {
        done.work.reply(this->replyWith(ResultCode::Ok));
    }
    this->startQueued();
}

Duration ReplicaModel::serviceTime()
{
    double micros = 0;
    if (drawUniform(this->random) < this->shape.tailShare) {
        const double remaining = 1 - drawUniform(this->random);
        micros
            = static_cast<double>(this->shape.tailStart.count()) * std::pow(remaining, -1 / this->shape.tailExponent);
    } else {
        std::lognormal_distribution<double> body(0, this->shape.serviceSigma);
        micros = static_cast<double>(this->shape.medianServiceTime.count()) * body(this->random);
    }
    micros *= this->faults.slowdown;
    if (drawUniform(this->random) < this->faults.slowShare) {
        micros *= this->faults.slowFactor;
    }
    const Duration sinceColdStart = this->queue.now() - this->faults.coldStartedAt;
    if (sinceColdStart < this->faults.coldStartDuration) {
        const double left = 1
            - static_cast<double>(sinceColdStart.count()) / static_cast<double>(this->faults.coldStartDuration.count());
        micros *= 1 + (initialColdSlowdown - 1) * left;
    }
    return Duration(static_cast<Duration::rep>(micros) + 1);
}

AttemptReply ReplicaModel::replyWith(ResultCode code)
{
    AttemptReply reply;
    reply.code = code;
    reply.draining = this->faults.draining && this->faults.reportsDraining;
    reply.coldStart = this->queue.now() - this->faults.coldStartedAt < this->faults.coldStartDuration;
    const int inFlight = static_cast<int>(this->running.size() + this->waiting.size());
    switch (this->faults.loadReport) {
    case LoadReport::Accurate:
        reply.inFlight = inFlight;
        break;
    case LoadReport::Frozen:
        reply.inFlight = 0;
        break;
    case LoadReport::Inverted:
        reply.inFlight = std::max(0, 2 * this->shape.slots - inFlight);
        break;
    case LoadReport::None:
        break;
    }
    return reply;
}

} // namespace hickoryshore::bench
