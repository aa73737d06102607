// Tests what callers get if a replica answers twice, late or only in part, with each framing and over real connections.
#include "entry_fixture.h"

#include <algorithm>
#include <array>
#include <map>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace hickoryshore;
using namespace hickoryshore::test;
using namespace std::chrono_literals;

namespace {

constexpr int rawPort = 23760;
constexpr std::string_view endOfHeader = "\r\n\r\n";

/// A replica that answers each request with arbitrary bytes. Must be used on the loop's thread.
class RawReplica
{
public:
    using Handler = std::function<void(int connection, const std::string &id)>;

    RawReplica(EventLoop &loop, Handler onRequest) : loop(loop), onRequest(std::move(onRequest))
    {
        const int on = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(rawPort);
        BOOST_REQUIRE(bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
        BOOST_REQUIRE(listen(this->listener, 16) == 0);
        loop.watch(this->listener, [this] {
            this->accept();
        });
    }

    ~RawReplica()
    {
        for (const auto &[descriptor, watch] : this->watches) {
            this->loop.unwatchStream(watch, descriptor);
            ::close(descriptor);
        }
        ::close(this->listener);
    }

    RawReplica(const RawReplica &) = delete;
    RawReplica &operator=(const RawReplica &) = delete;

    void write(int connection, std::string_view bytes) const
    {
        if (this->watches.contains(connection)) {
            static_cast<void>(!::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL));
        }
    }

    /// Closes the connection, with or without a reset.
    void end(int connection, bool reset)
    {
        const auto found = this->watches.find(connection);
        if (found == this->watches.end()) {
            return;
        }
        const linger resetOnClose{.l_onoff = 1, .l_linger = 0};
        if (reset) {
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
        }
        this->loop.unwatchStream(found->second, connection);
        this->watches.erase(found);
        ::close(connection);
    }

    bool isOpen(int connection) const
    {
        return this->watches.contains(connection);
    }

    int accepted = 0;

private:
    void accept()
    {
        const int connection = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection < 0) {
            return;
        }
        ++this->accepted;
        this->watches[connection] = this->loop.watchStream(connection, [this, connection](Readiness) {
            this->receive(connection);
        });
    }

    void receive(int connection)
    {
        std::array<char, 4096> buffer;
        const ssize_t count = recv(connection, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            if (count == 0) {
                this->end(connection, false);
            }
            return;
        }
        const std::string request(buffer.data(), static_cast<std::size_t>(count));
        const std::size_t id = request.find("Id: ") + 4;
        this->onRequest(connection, request.substr(id, request.find("\r\n", id) - id));
    }

    EventLoop &loop;
    Handler onRequest;
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    std::map<int, std::uint64_t> watches;
};

enum class Framing { Length, Chunks, UntilClose };

std::string answerBytes(Framing framing, const std::string &id, const std::string &body)
{
    std::string text = "HTTP/1.1 200 OK\r\nSign: s\r\n" + (id.empty() ? "" : "Id: " + id + "\r\n");
    switch (framing) {
    case Framing::Length:
        return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    case Framing::Chunks:
        return text + "Transfer-Encoding: chunked\r\n\r\n" + std::to_string(body.size()) + "\r\n" + body
            + "\r\n0\r\n\r\n";
    case Framing::UntilClose:
        break;
    }
    return text + "\r\n" + body;
}

std::string requestBytes(const std::string &id, std::string_view method)
{
    return std::string(method) + " /a HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nLeft: 1500\r\nContent-Length: 0\r\n\r\n";
}

/// An entry VM with one replica that answers with raw bytes.
struct RawEntry : Entry
{
    std::optional<RawReplica> replica;

    void serve(RawReplica::Handler handler, bool idempotent, std::vector<ServiceLimits> limits = {})
    {
        this->addRoute({.idempotent = idempotent, .split = {{{"s"}, 1.0}}}, std::move(limits));
        this->replica.emplace(this->loop, std::move(handler));
        this->registry.put(
            monotonicNow(),
            "raw",
            {.service = {"s"}, .address = "127.0.0.1:" + std::to_string(rawPort), .dataCentre = {"north"}, .slots = 2});
        this->service.setReplicas(this->registry);
    }

    /// Sends requests with the ids 1 to `count`, each `between` after the previous answer. Returns the answers.
    std::vector<UpstreamHttpResponse> callEach(int count, Duration between, std::string_view method)
    {
        std::vector<UpstreamHttpResponse> answers;
        std::function<void()> next = [this, &answers, &next, count, between, method] {
            this->start(requestBytes(std::to_string(answers.size() + 1), method),
                        [this, &answers, &next, count, between](const HttpExchangeEnd &end) {
                            answers.push_back(end.response);
                            if (answers.size() == static_cast<std::size_t>(count)) {
                                this->loop.stop();
                            } else {
                                this->loop.after(between, next);
                            }
                        });
        };
        this->loop.post(next);
        this->run();
        BOOST_REQUIRE(answers.size() == static_cast<std::size_t>(count));
        return answers;
    }
};

/// How and when the second copy of the first answer is sent.
struct CopyCase
{
    Framing framing = Framing::Length;
    Duration delay{0}; ///< Since the first request, which is answered at once.
    bool withId = true;
    bool whole = true;
};

/// Runs three requests and sends the answer to the first one twice. Each caller must get its own answer or a failure.
void checkSecondCopy(const CopyCase &each)
{
    RawEntry entry;
    entry.serve(
        [&entry, &each](int connection, const std::string &id) {
            const std::string body = "answer " + id;
            const std::string answer = answerBytes(each.framing, id, body);
            std::string copy = answerBytes(each.framing, each.withId ? id : "", body);
            copy.resize(each.whole ? copy.size() : copy.size() / 2);
            const Duration work = id == "1" ? Duration(0) : Duration(20ms);
            entry.loop.after(work, [&entry, connection, answer] {
                entry.replica->write(connection, answer);
            });
            if (id == "1") {
                entry.loop.after(each.delay, [&entry, connection, copy] {
                    entry.replica->write(connection, copy);
                });
            }
        },
        false);
    const auto answers = entry.callEach(3, 5ms, "POST");
    for (std::size_t number = 0; number < answers.size(); ++number) {
        const std::string own = "answer " + std::to_string(number + 1);
        BOOST_TEST_INFO("request " << number + 1 << ", copy after " << each.delay.count() << " us, with id "
                                   << each.withId << ", whole " << each.whole);
        BOOST_TEST((answers[number].status == 200 ? answers[number].body == own : answers[number].status >= 500));
    }
    // The copy must not affect the last request any more.
    BOOST_TEST(answers.back().status == 200);
}

/// Sends one request to a replica that closes the connection after these bytes. Returns the status of the caller's
/// answer.
int statusOfBroken(const std::string &bytes, bool reset, std::string_view method = "POST")
{
    RawEntry entry;
    entry.serve(
        [&entry, &bytes, reset](int connection, const std::string &) {
            entry.replica->write(connection, bytes);
            entry.loop.after(10ms, [&entry, connection, reset] {
                entry.replica->end(connection, reset);
            });
        },
        false);
    return entry.callEach(1, 0ms, method).front().status;
}

/// Writes the piece repeatedly until the connection is closed.
void writeEndlessly(RawEntry &entry, int connection, const std::string &piece, Duration pause, std::size_t &written)
{
    entry.replica->write(connection, piece);
    written += piece.size();
    entry.loop.after(pause, [&entry, connection, &piece, pause, &written] {
        if (entry.replica->isOpen(connection)) {
            writeEndlessly(entry, connection, piece, pause, written);
        }
    });
}

/// An endless response: its beginning, and the piece that is repeated after it.
struct EndlessCase
{
    std::string begin;
    std::string piece;
    Duration pause{1ms};
};

} // namespace

BOOST_AUTO_TEST_SUITE(replica_faults)

BOOST_AUTO_TEST_CASE(an_endless_response_is_cut_off_and_the_request_is_retried_at_another_replica)
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\nSign: s\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string long1000(1000, 'x');
    for (const EndlessCase &each : {EndlessCase{"HTTP/1.1 200 ", long1000},
                                    EndlessCase{head + "X: ", long1000},
                                    EndlessCase{"", "HTTP/1.1 102 Processing\r\n\r\n"},
                                    EndlessCase{chunked + "5;", long1000},
                                    EndlessCase{chunked + "0\r\n", "X: " + long1000 + "\r\n"},
                                    EndlessCase{chunked, "3e8\r\n" + long1000 + "\r\n"},
                                    EndlessCase{head + "\r\n", std::string(60'000, 'x')},
                                    EndlessCase{"", answerBytes(Framing::Length, "other", "x")},
                                    EndlessCase{head, "X", 5ms}}) {
        BOOST_TEST_INFO(each.begin << " then " << each.piece.substr(0, 20));
        RawEntry entry;
        std::size_t written = 0;
        entry.addReplica("s", answering("s", "answer"));
        ReplicaRecord cold = entry.registry.replicas().at("replica-0").record;
        cold.warmUpLeft = 10s; // Makes the raw replica get the first attempt.
        entry.registry.put(monotonicNow(), "replica-0", cold);
        entry.serve(
            [&](int connection, const std::string &) {
                entry.replica->write(connection, each.begin);
                writeEndlessly(entry, connection, each.piece, each.pause, written);
            },
            true);
        const UpstreamHttpResponse answer = entry.callEach(1, 0ms, "GET").front();
        BOOST_TEST(written > 0U);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == "answer");
        BOOST_TEST(written < 2'000'000U);
    }
}

// Guards against a caller that is told "not run" about a request that has run: the first attempt is rejected by another
// replica at a reused address, and the second one runs, but its answer is lost.
BOOST_AUTO_TEST_CASE(a_rejection_is_not_forwarded_after_an_attempt_that_may_have_run)
{
    for (const bool answersGarbage : {false, true}) {
        RawEntry entry;
        int rejected = 0;
        int ran = 0;
        entry.addReplica("s", [&rejected](HttpListener &listener, HttpCallId call, const HttpServerRequest &request) {
            ++rejected;
            listener.answer(call, {.status = 421, .headers = {requestIdHeader(request)}});
        });
        entry.serve(
            [&](int connection, const std::string &) {
                ++ran;
                if (answersGarbage) {
                    // Without the request id, the response may belong to an earlier request.
                    entry.replica->write(connection, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
                } else {
                    entry.replica->end(connection, true);
                }
            },
            false);
        ReplicaRecord cold = entry.registry.replicas().at("raw").record;
        cold.warmUpLeft = 10s; // Makes the other replica get the first attempt.
        entry.registry.put(monotonicNow(), "raw", cold);
        entry.service.setReplicas(entry.registry);
        BOOST_TEST(entry.callEach(1, 0ms, "POST").front().status == 502);
        BOOST_TEST(rejected == 1);
        BOOST_TEST(ran == 1);
    }
}

// Guards against a request that runs twice, or is answered "not run" though it runs: a late copy of a refusal has the
// id of the refused request, so it looks like the answer to the same request, sent again over the same connection.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_refusal_does_not_answer_the_next_attempt)
{
    for (const bool idempotent : {false, true}) {
        // With a limit of one connection, the next attempt can't be sent over another one beside it.
        for (const bool limited : {false, true}) {
            BOOST_TEST_INFO("idempotent " << idempotent << ", limited " << limited);
            RawEntry entry;
            int ran = 0;
            int refusedOn = -1;
            int acceptedAtRefusal = 0;
            entry.serve(
                [&](int connection, const std::string &id) {
                    const std::string refusal
                        = "HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
                    if (refusedOn < 0) {
                        refusedOn = connection;
                        acceptedAtRefusal = entry.replica->accepted;
                        entry.replica->write(connection, refusal);
                        return;
                    }
                    ++ran;
                    // A new connection may have the descriptor of the first one.
                    const bool isReused = connection == refusedOn && entry.replica->accepted > acceptedAtRefusal;
                    if (!isReused) {
                        entry.replica->write(refusedOn, refusal);
                    }
                    entry.loop.after(30ms, [&entry, connection, id] {
                        entry.replica->write(connection, answerBytes(Framing::Length, id, "done"));
                    });
                },
                idempotent,
                limited ? std::vector<ServiceLimits>{{.service = {"s"}, .connectionsPerReplica = 1}}
                        : std::vector<ServiceLimits>{});
            const UpstreamHttpResponse answer = entry.callEach(1, 0ms, "POST").front();
            BOOST_TEST(answer.status == 200);
            BOOST_TEST(answer.body == "done");
            BOOST_TEST(ran == 1);
            BOOST_TEST(entry.replica->accepted == 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_second_copy_of_an_answer_reaches_no_other_caller)
{
    for (const Framing framing : {Framing::Length, Framing::Chunks}) {
        // The copy arrives together with the answer, while the connection is idle, or during the next request.
        for (const Duration delay : {0ms, 3ms, 15ms}) {
            for (const bool withId : {true, false}) {
                for (const bool whole : {true, false}) {
                    checkSecondCopy({.framing = framing, .delay = delay, .withId = withId, .whole = whole});
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_truncated_answer_is_a_failure)
{
    for (const Framing framing : {Framing::Length, Framing::Chunks, Framing::UntilClose}) {
        const std::string whole = answerBytes(framing, "1", "12345678");
        const std::size_t body = whole.find(endOfHeader) + endOfHeader.size();
        for (const std::size_t size : {std::size_t{5}, body - 3, body, body + 4, whole.size() - 1}) {
            for (const bool reset : {true, false}) {
                // A body that is delimited by an orderly close is complete wherever it ends.
                if (framing == Framing::UntilClose && !reset && size >= body) {
                    continue;
                }
                BOOST_TEST_INFO("framing " << static_cast<int>(framing) << ", " << size << " bytes, reset " << reset);
                BOOST_TEST(statusOfBroken(whole.substr(0, size), reset) == 502);
            }
        }
    }
}

// Guards against a response that ends within its head and is passed on as a whole one without a body.
BOOST_AUTO_TEST_CASE(a_response_cut_anywhere_in_its_head_is_a_failure)
{
    for (const Framing framing : {Framing::Length, Framing::Chunks, Framing::UntilClose}) {
        const std::string whole = answerBytes(framing, "1", "12345678");
        const std::size_t body = whole.find(endOfHeader) + endOfHeader.size();
        for (std::size_t size = 0; size < body; ++size) {
            BOOST_TEST_INFO("framing " << static_cast<int>(framing) << ", " << size << " bytes");
            BOOST_TEST(statusOfBroken(whole.substr(0, size), false) == 502);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_body_delimited_by_a_close_is_complete_only_without_a_reset)
{
    const std::string whole = answerBytes(Framing::UntilClose, "1", "12345678");
    BOOST_TEST(statusOfBroken(whole, false) == 200);
    BOOST_TEST(statusOfBroken(whole, true) == 502);
}

BOOST_AUTO_TEST_CASE(a_malformed_answer_is_a_failure)
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\nSign: s\r\n";
    for (const std::string &bytes : {std::string("garbage\r\n\r\n"),
                                     head + "Content-Length: many\r\n\r\n1234",
                                     head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n12345",
                                     head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n1234\r\n0\r\n\r\n",
                                     head + "Transfer-Encoding: chunked\r\n\r\n4\r\n123456\r\n0\r\n\r\n"}) {
        BOOST_TEST_INFO(bytes);
        BOOST_TEST(statusOfBroken(bytes, false) == 502);
    }
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_body_ends_with_its_header)
{
    BOOST_TEST(statusOfBroken("HTTP/1.1 204 No Content\r\nId: 1\r\nSign: s\r\n\r\n", true) == 204);
    BOOST_TEST(statusOfBroken("HTTP/1.1 200 OK\r\nId: 1\r\nSign: s\r\nContent-Length: 9\r\n\r\n", true, "HEAD") == 200);
}

// Guards against a response of a replica in trouble that its caller gets as an answer, or waits for the deadline for.
BOOST_AUTO_TEST_CASE(a_response_with_an_impossible_status_is_a_failure_and_its_connection_is_closed)
{
    for (const std::string status : {"000", "099", "101", "600"}) {
        for (const bool withBody : {false, true}) {
            RawEntry entry;
            entry.serve(
                [&entry, &status, withBody](int connection, const std::string &id) {
                    std::string bytes = "HTTP/1.1 ";
                    bytes.append(status).append(" Status\r\nSign: s\r\nId: ").append(id).append("\r\n");
                    bytes.append(withBody ? "Content-Length: 2\r\n\r\nxx" : "\r\n");
                    bytes.append(withBody ? answerBytes(Framing::Length, id, "behind") : "");
                    entry.replica->write(connection, bytes);
                },
                false);
            const auto answers = entry.callEach(2, 5ms, "POST");
            BOOST_TEST_INFO(status << ", with a body " << withBody);
            // It may have run; 504 would tell that the deadline was waited for.
            BOOST_TEST(answers.front().status == 502);
            BOOST_TEST(answers.back().status == 502);
            BOOST_TEST(entry.replica->accepted == 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_met_an_impossible_status_is_retried_if_it_may_run_again)
{
    RawEntry entry;
    entry.serve(
        [&entry](int connection, const std::string &id) {
            entry.replica->write(connection,
                                 "HTTP/1.1 000 Status\r\nSign: s\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nxx");
        },
        true);
    entry.addReplica("s", answering("good", "body"));
    for (const UpstreamHttpResponse &answer : entry.callEach(4, 5ms, "GET")) {
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == "body");
    }
}

BOOST_AUTO_TEST_SUITE_END()
