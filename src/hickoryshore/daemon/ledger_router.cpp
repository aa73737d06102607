#include "hickoryshore/daemon/ledger_router.h"

#include <algorithm>
#include <utility>

namespace hickoryshore {

namespace {

/// Longer than a writer takes to decide, with the way there and back.
constexpr Duration replyTimeout = std::chrono::milliseconds(300);

/// After this a reply to a refused submission no longer counts; its id stays on record as one that may run.
constexpr Duration lateReplyTime = std::chrono::seconds(30);

/// By then the other VMs have noticed a writer that is gone.
constexpr Duration silentWriterRetryAfter = std::chrono::seconds(1);

wire::LedgerCall callOf(wire::LedgerCall::Kind kind, const RequestId &id)
{
    wire::LedgerCall call;
    call.set_kind(kind);
    call.set_request_id(id.value);
    return call;
}

wire::LedgerCall toWire(const LedgerRequest &request)
{
    wire::LedgerCall call = callOf(wire::LedgerCall::SUBMIT, request.id);
    call.set_caller(request.caller.value);
    call.set_body_hash(request.bodyHash);
    call.set_issued_at_ms(request.issuedAt.milliseconds);
    call.set_repeated(request.repeated);
    call.set_patience_ms(static_cast<std::uint32_t>(ceilMilliseconds(request.waitLimit)));
    return call;
}

LedgerRequest requestOf(const wire::LedgerCall &call)
{
    LedgerRequest request;
    request.id = {call.request_id()};
    request.caller = {call.caller()};
    request.bodyHash = call.body_hash();
    request.issuedAt = {call.issued_at_ms()};
    request.repeated = call.repeated();
    request.waitLimit = std::chrono::milliseconds(call.patience_ms());
    return request;
}

wire::LedgerReply toWire(const wire::LedgerCall &call, const LedgerDecision &decision)
{
    wire::LedgerReply reply;
    reply.set_token(call.token());
    reply.set_request_id(call.request_id());
    reply.set_accepted(decision.accepted);
    reply.set_result_code(static_cast<int>(decision.code));
    reply.set_execution(static_cast<std::uint32_t>(decision.execution));
    reply.set_retry_after_ms(static_cast<std::uint32_t>(ceilMilliseconds(decision.retryAfter)));
    reply.set_recorded_code(static_cast<int>(decision.recordedCode));
    reply.set_recorded_outcome(decision.recordedOutcome);
    return reply;
}

LedgerDecision decisionOf(const wire::LedgerReply &reply)
{
    LedgerDecision decision;
    decision.accepted = reply.accepted();
    decision.code = resultCodeFromNumber(reply.result_code()).value_or(ResultCode::InternalError);
    decision.execution = static_cast<Execution>(reply.execution());
    decision.retryAfter = std::chrono::milliseconds(reply.retry_after_ms());
    decision.recordedCode = resultCodeFromNumber(reply.recorded_code()).value_or(ResultCode::InternalError);
    decision.recordedOutcome = reply.recorded_outcome();
    return decision;
}

} // namespace

LedgerRouter::LedgerRouter(EventLoop &loop, LedgerService &ledger, VmId self, LedgerRouterHooks hooks)
    : loop(loop), ledger(ledger), self(std::move(self)), hooks(std::move(hooks))
{ }

void LedgerRouter::submit(LedgerRequest request, OnDecision onDecision)
{
    this->loop.post([this, request = std::move(request), onDecision = std::move(onDecision)]() mutable {
        const VmId writer = this->hooks.writerOf(request.id);
        if (writer == this->self) {
            this->ledger.submit(std::move(request), std::move(onDecision));
            return;
        }
        const Duration timeout
            = request.waitLimit > Duration(0) ? std::min(request.waitLimit, replyTimeout) : replyTimeout;
        this->ask(writer,
                  toWire(request),
                  timeout,
                  unrecordedDecision(request, silentWriterRetryAfter),
                  std::move(onDecision));
    });
}

void LedgerRouter::lookUp(RequestId id, std::optional<WallTime> issuedAt, OnDecision onDecision)
{
    this->loop.post([this, id = std::move(id), issuedAt, onDecision = std::move(onDecision)]() mutable {
        const VmId writer = this->hooks.writerOf(id);
        if (writer == this->self) {
            this->ledger.lookUp(std::move(id), issuedAt, std::move(onDecision));
            return;
        }
        wire::LedgerCall call = callOf(wire::LedgerCall::LOOK_UP, id);
        call.set_issued_at_ms(issuedAt.value_or(WallTime{}).milliseconds);
        this->ask(
            writer, std::move(call), replyTimeout, failedLookUpDecision(silentWriterRetryAfter), std::move(onDecision));
    });
}

void LedgerRouter::ask(
    const VmId &writer, wire::LedgerCall call, Duration timeout, LedgerDecision late, OnDecision onDecision)
{
    const std::uint64_t token = ++this->lastToken;
    call.set_token(token);
    this->waiting.emplace(token, Waiting{writer, std::move(onDecision)});
    this->hooks.send(writer, std::move(call));
    this->loop.after(timeout, [this, token, late = std::move(late)] {
        const auto found = this->waiting.find(token);
        if (found != this->waiting.end()) {
            const OnDecision decide = std::move(found->second.onDecision);
            this->waiting.erase(found);
            this->refused.insert(token);
            decide(late);
        }
    });
    this->loop.after(lateReplyTime, [this, token] {
        this->refused.erase(token);
    });
}

void LedgerRouter::complete(RequestId id, ResultCode code, std::string outcome)
{
    this->loop.post([this, id = std::move(id), code, outcome = std::move(outcome)]() mutable {
        const auto accepted = this->acceptedBy.find(id);
        if (accepted == this->acceptedBy.end()) {
            this->ledger.complete(std::move(id), code, std::move(outcome));
            return;
        }
        wire::LedgerCall call = callOf(wire::LedgerCall::COMPLETE, id);
        call.set_result_code(static_cast<int>(code));
        call.set_outcome(std::move(outcome));
        this->hooks.send(accepted->second, std::move(call));
        this->acceptedBy.erase(accepted);
    });
}

void LedgerRouter::onCall(const wire::LedgerCall &call, Answer answer)
{
    const auto reply = [call, answer = std::move(answer)](const LedgerDecision &decision) {
        answer(toWire(call, decision));
    };
    if (call.kind() == wire::LedgerCall::SUBMIT) {
        this->ledger.submit(requestOf(call), reply);
    } else if (call.kind() == wire::LedgerCall::LOOK_UP) {
        std::optional<WallTime> issuedAt;
        if (call.issued_at_ms() != 0) {
            issuedAt = WallTime{call.issued_at_ms()};
        }
        this->ledger.lookUp({call.request_id()}, issuedAt, reply);
    } else {
        const ResultCode code = resultCodeFromNumber(call.result_code()).value_or(ResultCode::InternalError);
        this->ledger.complete({call.request_id()}, code, call.outcome());
    }
}

void LedgerRouter::onReply(const VmId &from, const wire::LedgerReply &reply)
{
    const auto found = this->waiting.find(reply.token());
    if (found != this->waiting.end()) {
        const OnDecision decide = std::move(found->second.onDecision);
        this->waiting.erase(found);
        if (reply.accepted()) {
            this->acceptedBy.insert_or_assign(RequestId{reply.request_id()}, from);
        }
        decide(decisionOf(reply));
        return;
    }
    // Only a refused submission was certainly not dispatched; another reply to a decided one changes nothing.
    if (this->refused.erase(reply.token()) > 0 && reply.accepted()) {
        // The caller was refused meanwhile and nothing was dispatched: the id may be used again.
        wire::LedgerCall call = callOf(wire::LedgerCall::COMPLETE, {reply.request_id()});
        call.set_result_code(static_cast<int>(ResultCode::DeadlineBeforeDispatch));
        this->hooks.send(from, std::move(call));
    }
}

} // namespace hickoryshore
