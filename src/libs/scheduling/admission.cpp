#include "admission.h"

#include <algorithm>
#include <cmath>

namespace Scheduling {
namespace {

// Share of a host's capacity that tasks can use, since tasks do not fill hosts completely.
constexpr double usableShare = 0.8;
// Share of a pool that works on jobs beyond the rates of their accounts at least, since the owed work
// that keeps coming is known as an average only.
constexpr double leastShareBeyondRates = 0.1;
// Nobody waits longer than this before another try.
constexpr double longestBacklogMs = 3'600'000;
constexpr std::int64_t shortestRetryMs = 1000;
// A pool without hosts works nothing off. This is when to ask again.
constexpr std::int64_t retryWithoutHostsMs = 10'000;

// Returns how many hosts work on what is ahead of the job, and on the job.
auto hostsFor(const AdmissionRequest &request, const AdmissionLoad &load) -> double
{
    const auto usable = load.hosts * usableShare;
    if (!request.beyondRate)
        return usable;
    return std::max(usable - load.owedHosts, usable * leastShareBeyondRates);
}

// The objective of a job that is too wide for the pool follows the time that it takes there.
auto objectiveOf(const AdmissionRequest &request, double spanMs) -> double
{
    return request.terms.stretch * spanMs + double(request.terms.objectiveMs);
}

auto wholeMs(double backlogMs) -> std::int64_t
{
    return std::int64_t(std::ceil(std::min(backlogMs, longestBacklogMs)));
}

auto refused(AdmissionRefusal reason, double backlogMs) -> Admission
{
    Admission admission;
    admission.refusal = reason;
    admission.backlogMs = wholeMs(backlogMs);
    admission.retryAfterMs = std::max(admission.backlogMs, shortestRetryMs);
    return admission;
}

} // namespace

auto decideAdmission(const AdmissionRequest &request, const AdmissionLoad &load) -> Admission
{
    const auto hosts = hostsFor(request, load);
    const auto waitMs = hosts > 0 ? load.aheadMs / hosts : double(retryWithoutHostsMs);
    if (load.isFull)
        return refused(AdmissionRefusal::TooMuch, waitMs);
    Admission accepted;
    accepted.backlogMs = hosts > 0 ? wholeMs(waitMs) : 0;
    if (!request.beyondRate || load.hasRoom || (hosts > 0 && load.aheadMs <= 0))
        return accepted;
    if (hosts <= 0)
        return refused(AdmissionRefusal::BeyondRate, waitMs);
    const auto spanMs = std::max(double(request.chainMs), request.workMs / hosts);
    const auto objectiveMs = objectiveOf(request, spanMs);
    // Late jobs yield to those that are on time.
    if (load.aheadOnTimeMs / hosts + spanMs <= objectiveMs)
        return accepted;
    const auto doneMs = waitMs + spanMs;
    if (doneMs > objectiveMs * double(lateObjectives))
        return refused(AdmissionRefusal::BeyondRate, waitMs);
    return accepted;
}

auto shareOfHost(const Jobs::Resources &demand, const Jobs::Resources &host) -> double
{
    const auto part = [](std::int64_t amount, std::int64_t of) {
        return amount > 0 && of > 0 ? double(amount) / double(of) : 0.0;
    };
    return std::max({part(demand.cpuMillicores, host.cpuMillicores),
                     part(demand.memoryMb, host.memoryMb),
                     part(demand.gpus, host.gpus)});
}

} // namespace Scheduling
