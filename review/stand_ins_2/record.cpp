#include "record.h"

#include <iomanip>
#include <iostream>

namespace review {

Record::Record(const std::string &file) : output(file)
{
    this->output << std::fixed << std::setprecision(3);
    std::cout << std::fixed << std::setprecision(3);
}

double Record::seconds(Instant at) const
{
    return std::chrono::duration<double>(at - this->start).count();
}

void Record::note(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    for (std::ostream *stream : {static_cast<std::ostream *>(&this->output), &std::cout}) {
        *stream << this->seconds(Clock::now()) << " s: " << text << std::endl;
    }
}

void Record::addArrival(Arrival arrival)
{
    const std::lock_guard lock(this->mutex);
    this->allArrivals.push_back(std::move(arrival));
}

void Record::addCall(Call call)
{
    const std::lock_guard lock(this->mutex);
    this->allCalls.push_back(std::move(call));
}

void Record::writeAll()
{
    const std::lock_guard lock(this->mutex);
    this->output << "Requests of clients: sent at, answered at, VM, path, id, status (0: no answer)\n";
    for (const Call &call : this->allCalls) {
        this->output << this->seconds(call.sentAt) << ' ' << this->seconds(call.endedAt) << ' ' << call.vm << ' '
                     << call.path << ' ' << call.id << ' ' << call.status << '\n';
    }
    this->output << "Requests that replicas ran: arrived at, replica, id\n";
    for (const Arrival &arrival : this->allArrivals) {
        this->output << this->seconds(arrival.at) << ' ' << arrival.replica << ' ' << arrival.id << '\n';
    }
    this->output.flush();
}

std::vector<Arrival> Record::arrivals()
{
    const std::lock_guard lock(this->mutex);
    return this->allArrivals;
}

std::vector<Call> Record::calls()
{
    const std::lock_guard lock(this->mutex);
    return this->allCalls;
}

} // namespace review
