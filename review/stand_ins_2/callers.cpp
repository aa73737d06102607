#include "callers.h"

#include <algorithm>
#include <random>

#include <nlohmann/json.hpp>

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds listLifetime = 1s;
constexpr std::chrono::milliseconds directoryTimeout = 1s;
constexpr int directoriesAsked = 3;
/// Clients keep a connection for many requests.
constexpr unsigned requestsPerConnection = 50;

} // namespace

Callers::Callers(const Fleet &fleet, CallerSettings settings, Record &record)
    : fleet(fleet), settings(std::move(settings)), record(record)
{
    this->threads.emplace_back([this] {
        this->refresh();
    });
    for (int number = 0; number < this->settings.threads; ++number) {
        this->threads.emplace_back([this, number] {
            this->run(number);
        });
    }
}

Callers::~Callers()
{
    this->stop();
}

void Callers::stop()
{
    this->stopping = true;
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

std::vector<std::string> Callers::resolve() const
{
    for (int vm = 0; vm < std::min(directoriesAsked, this->fleet.size()); ++vm) {
        HttpClient client(this->fleet.directoryAddress(vm));
        if (!client.isOpen()) {
            continue;
        }
        const Request request{.method = "GET",
                              .target = "/resolve?name=" + this->settings.host + "&region=region-a&zone=zone-a",
                              .headers = {{"host", this->settings.host}}};
        const auto response = client.send(request, directoryTimeout);
        if (response.has_value() && response->status == 200) {
            return nlohmann::json::parse(response->body).at("addrs").get<std::vector<std::string>>();
        }
    }
    return {};
}

/// Keeps the list; an empty answer leaves the old one, as clients do.
void Callers::refresh()
{
    while (!this->stopping) {
        std::vector<std::string> found = this->resolve();
        if (!found.empty()) {
            const std::lock_guard lock(this->mutex);
            this->addresses = std::move(found);
        }
        std::this_thread::sleep_for(listLifetime);
    }
}

std::string Callers::chooseVm(unsigned turn)
{
    const std::lock_guard lock(this->mutex);
    return this->addresses.empty() ? std::string() : this->addresses[turn % this->addresses.size()];
}

void Callers::run(int number)
{
    std::unique_ptr<HttpClient> client;
    std::string vm;
    std::minstd_rand random(static_cast<unsigned>(number) + 1);
    for (unsigned turn = 0; !this->stopping; ++turn) {
        std::this_thread::sleep_for(this->settings.pause / 2 + this->settings.pause * (random() % 100) / 100);
        if (client == nullptr || !client->isOpen() || turn % requestsPerConnection == 0) {
            vm = this->chooseVm(static_cast<unsigned>(random()));
            if (vm.empty()) {
                continue;
            }
            client = std::make_unique<HttpClient>(vm);
        }
        const std::string &path = this->settings.paths[random() % this->settings.paths.size()];
        Call call{.id = this->settings.idPrefix + std::to_string(number) + "-" + std::to_string(turn),
                  .path = path,
                  .vm = vm,
                  .sentAt = Clock::now(),
                  .endedAt = {}};
        if (client->isOpen()) {
            const Request request{.method = "GET",
                                  .target = path + call.id,
                                  .headers = {{"host", this->settings.host},
                                              {"request-id", call.id},
                                              {"time-budget-ms", std::to_string(this->settings.deadline.count())}}};
            const auto response = client->send(request, this->settings.deadline);
            call.status = response.has_value() ? response->status : 0;
        }
        call.endedAt = Clock::now();
        this->record.addCall(std::move(call));
    }
}

} // namespace review
