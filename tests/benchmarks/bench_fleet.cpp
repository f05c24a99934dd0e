// Measures the rate of commands on the fleet state, its snapshot, and the memory of its objects.
#include "fleet/replica.h"

#include <malloc.h>

#include <chrono>
#include <iostream>

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto claimCount = 50'000;
constexpr auto hostCount = 20'000;
constexpr auto contractCount = 2'000;
constexpr auto answerBytes = 200;

auto heapBytes() -> double
{
    const auto info = mallinfo2();
    return double(info.uordblks + info.hblkhd);
}

class Bench
{
public:
    auto apply(Fleet::CommandBody body) -> void
    {
        Fleet::Command command;
        command.id = "command-0123456789abcdef0123456789abcdef-" + std::to_string(++m_revision);
        command.actor = "entry-z1-a";
        command.cause = "request request-0123456789abcdef0123456789abcdef";
        command.timeMs = 1'700'000'000'000 + std::int64_t(m_revision);
        command.body = std::move(body);
        replica.apply({m_revision, 1, Fleet::encodeCommand(command)});
    }

    // Applies the commands make(0) to make(count - 1). Prints their rate and the heap memory per
    // object, and returns the rate.
    template <typename Make>
    auto measure(const char *name, int count, Make make) -> double
    {
        const auto bytesBefore = heapBytes();
        const auto start = Clock::now();
        for (auto index = 0; index < count; ++index)
            apply(make(index));
        const auto seconds = std::chrono::duration<double>(Clock::now() - start).count();
        std::cout << name << ',' << count << ',' << count / seconds << ','
                  << (heapBytes() - bytesBefore) / count << '\n';
        return count / seconds;
    }

    Fleet::Replica replica;

private:
    Fleet::Revision m_revision = 0;
};

auto claimOf(int index) -> Fleet::CommandBody
{
    Fleet::RequestClaim claim;
    claim.customer = "kerbside";
    claim.key = "booking-0123456789abcdef-" + std::to_string(index);
    claim.fingerprint = std::string(64, 'f');
    claim.process = "entry-z1-a";
    claim.incarnation = 1'700'000'000'000;
    claim.attempt = index + 1;
    return Fleet::ClaimRequest{claim, claimCount * 2};
}

auto settleOf(int index) -> Fleet::CommandBody
{
    const auto claim = std::get<Fleet::ClaimRequest>(claimOf(index)).claim;
    Fleet::SettleClaim command;
    command.customer = claim.customer;
    command.key = claim.key;
    command.process = claim.process;
    command.incarnation = claim.incarnation;
    command.attempt = claim.attempt;
    command.outcome = Fleet::ClaimOutcome::Answered;
    command.answer =
        Fleet::StoredResponse{200, "application/json", {}, {std::string(answerBytes, 'x')}};
    return command;
}

auto contractOf(int index) -> Fleet::CommandBody
{
    Fleet::Contract contract;
    contract.customer = "customer-" + std::to_string(index);
    for (const auto *service : {"route", "dispatch", "refill", "orders", "members"})
        contract.services.push_back({service, service, 8, 64, 0});
    return Fleet::PutContract{contract, true};
}

auto hostOf(int index) -> Fleet::CommandBody
{
    const auto number = std::to_string(index);
    return Fleet::RegisterHost{"host-" + number, "dispatch", "z1", "rack-" + number, 8};
}

} // namespace

auto main() -> int
{
    std::cout << "object,count,commands_per_s,heap_bytes_each\n";
    Bench bench;
    const auto contracts = bench.measure("contract", contractCount, contractOf);
    bench.measure("host", hostCount, hostOf);
    const auto claims = bench.measure("claim", claimCount, claimOf);
    const auto settles = bench.measure("settle", claimCount, settleOf);
    std::cout << "ratio claim to contract commands: " << claims / contracts << '\n';
    std::cout << "claimed requests a second on one core: " << 1 / (1 / claims + 1 / settles)
              << '\n';
    const auto start = Clock::now();
    const auto snapshot = bench.replica.snapshot();
    const auto seconds = std::chrono::duration<double>(Clock::now() - start).count();
    std::cout << "snapshot_bytes," << snapshot.size() << ",seconds," << seconds << '\n';
    return 0;
}
