#pragma once

#include "balancemodel.h"

#include "routing/admission.h"
#include "routing/balancer.h"
#include "routing/retrybudget.h"
#include "routing/slotshare.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <random>

/*! Simulates balancing and admission with small fake workers on a virtual clock. */
namespace PolicyModel {

using Routing::Priority;

enum class Policy { Admission, RoundRobin, StaticLimits };

struct DemandOptions
{
    Policy policy = Policy::Admission;
    Routing::Strategy strategy = Routing::Strategy::ModulatedTwoChoices;
    std::uint64_t seed = 1;
    int stalenessMs = 1000;
    int durationMs = 60'000;
};

struct PriorityResult
{
    std::int64_t offered = 0;
    std::int64_t inDeadline = 0;
    std::int64_t late = 0;
    std::int64_t refused = 0;
    std::vector<int> waitsMs;
};

struct DemandResult
{
    std::array<PriorityResult, 3> priorities;
    std::int64_t urgentWithinGuarantee = 0;
    std::int64_t urgentFailures = 0; //!< Late or refused requests within the guarantee.
    double workDone = 0;     //!< Slot milliseconds of the runs that ended within their deadline.
    double workPossible = 0; //!< Slot milliseconds: the smaller of demand and capacity.
    std::int64_t retries = 0;
    std::int64_t requests = 0;
};

/*! \brief Simulates one pool of one service behind eight entries. */
class PoolModel
{
public:
    PoolModel(const DemandOptions &options, std::uint64_t seed, DemandResult &result)
        : m_options(options)
        , m_result(result)
        , m_random(seed)
    {
        for (auto index = 0; index < entries; ++index)
            m_entries.push_back(std::make_unique<Entry>(m_options.strategy, m_random()));
    }

    /*! \brief Advances by one millisecond, with \a rate new requests on average. */
    auto step(int now, double rate) -> void
    {
        m_now = now;
        finishWork();
        startDelayed();
        report();
        std::poisson_distribution<> arrivals(rate);
        auto offered = 0.0;
        for (auto count = rate > 0 ? arrivals(m_random) : 0; count > 0; --count)
            offered += arrive();
        m_demandWindow += offered;
        if (now % demandWindowMs == 0) {
            m_result.workPossible += std::min(m_demandWindow, double(poolSlots) * demandWindowMs);
            m_demandWindow = 0;
        }
        for (auto &entry : m_entries)
            startQueued(*entry);
    }

private:
    static constexpr auto demandWindowMs = 1000;
    static constexpr std::size_t queueLimit = 1024;
    static constexpr auto maximumAttempts = 4;
    static constexpr auto busyWaitMs = 25;

    struct Job
    {
        int customer = 0;
        Priority priority = Priority::Normal;
        int arrivedMs = 0;
        int deadlineMs = 0;
        int runMs = 0;
        bool isWithinGuarantee = false;
        Routing::TicketId ticket = 0;
    };
    struct Entry
    {
        Entry(Routing::Strategy strategy, std::uint64_t seed)
            : balancer(strategy, seed)
            , roundRobin(Routing::Strategy::RoundRobin, seed)
            , admission(queueLimit)
        {}
        Routing::Balancer balancer;
        Routing::Balancer roundRobin;
        Routing::Admission admission;
        Routing::RetryBudget budget;
        std::map<Routing::TicketId, Job> queued;
        std::deque<Job> fifo;
        int inFlight = 0;
        std::vector<int> allowances = std::vector<int>(workers, slotsPerWorker);
        std::array<int, workers> own{};
        std::array<int, workers> reported{};
        std::array<int, 2> reportedDemand{};
    };
    struct Running
    {
        Job job;
        int entry = 0;
        int worker = 0;
    };
    struct CustomerTerms
    {
        const char *name;
        int guaranteed;
        int maximum;
    };
    static constexpr std::array<CustomerTerms, 2> customers{CustomerTerms{"a", 32, poolSlots},
                                                            CustomerTerms{"b", 16, poolSlots}};

    auto resultOf(const Job &job) -> PriorityResult &
    {
        return m_result.priorities[std::size_t(job.priority)];
    }

    auto refuse(const Job &job) -> void
    {
        ++resultOf(job).refused;
        recordOutcome(job, false);
    }

    auto recordOutcome(const Job &job, bool inDeadline) -> void
    {
        if (job.isWithinGuarantee) {
            --m_urgentOutstanding[job.customer];
            m_result.urgentFailures += inDeadline ? 0 : 1;
        }
    }

    // Adds a request and returns its run time, which lies between 100 and 399 ms and is not known
    // to the entries in advance.
    auto arrive() -> double
    {
        constexpr std::array<int, 3> deadlinesMs{1000, 3000, 20'000};
        Job job;
        job.customer = int(m_random() % 2);
        const auto part = m_random() % 10;
        job.priority = part < 2   ? Priority::Urgent
                       : part < 7 ? Priority::Normal
                                  : Priority::Deferrable;
        job.arrivedMs = m_now;
        job.deadlineMs = m_now + deadlinesMs[std::size_t(job.priority)];
        job.runMs = 100 + int(m_random() % 300);
        if (job.priority == Priority::Urgent
            && m_urgentOutstanding[job.customer] < customers[job.customer].guaranteed) {
            job.isWithinGuarantee = true;
            ++m_urgentOutstanding[job.customer];
            ++m_result.urgentWithinGuarantee;
        }
        ++m_result.requests;
        ++resultOf(job).offered;
        const auto entry = int(m_random() % entries);
        admit(*m_entries[entry], entry, job);
        return job.runMs;
    }

    auto admit(Entry &entry, int index, Job job) -> void
    {
        entry.budget.addRequest();
        if (m_options.policy == Policy::RoundRobin) {
            if (!start(entry, index, job))
                refuse(job);
            return;
        }
        if (m_options.policy == Policy::StaticLimits) {
            constexpr std::size_t fifoLimit = 128;
            if (entry.fifo.size() >= fifoLimit)
                refuse(job);
            else
                entry.fifo.push_back(job);
            return;
        }
        refresh(entry);
        const auto decision = entry.admission.offer(
            {customers[job.customer].name, job.priority, Instant(Milliseconds(job.deadlineMs))},
            instant());
        job.ticket = decision.ticket;
        if (decision.state == Routing::AdmissionState::Refused)
            refuse(job);
        else if (decision.state == Routing::AdmissionState::Queued)
            entry.queued.emplace(job.ticket, job);
        else if (!start(entry, index, job))
            retryLaterOrRefuse(entry, job);
    }

    // Called when no worker has a free slot. Schedules another attempt if the deadline leaves time
    // for it, and otherwise refuses the job.
    auto retryLaterOrRefuse(Entry &entry, const Job &job) -> void
    {
        const auto nextMs = m_now + busyWaitMs;
        if (nextMs + job.runMs <= job.deadlineMs) {
            m_delayed[nextMs].push_back({job, indexOf(entry), 0});
            return;
        }
        entry.admission.finish(job.ticket);
        refuse(job);
    }

    auto startDelayed() -> void
    {
        auto due = m_delayed.extract(m_now);
        if (due.empty())
            return;
        for (const auto &[job, index, worker] : due.mapped()) {
            auto &entry = *m_entries[index];
            if (!entry.budget.takeRetry(job.priority)) {
                retryLaterOrRefuse(entry, job);
                continue;
            }
            ++m_result.retries;
            if (!start(entry, index, job))
                retryLaterOrRefuse(entry, job);
        }
    }

    auto instant() const -> Instant { return Instant(Milliseconds(m_now)); }

    auto refresh(Entry &entry) -> void
    {
        std::array<Routing::DemandShare, 2> shares;
        Routing::DemandShare sum;
        const auto index = indexOf(entry);
        sum.processesBefore = index;
        sum.processesAfter = entries - 1 - index;
        for (std::size_t customer = 0; customer < 2; ++customer) {
            auto &share = shares[customer];
            share = sum;
            share.own = entry.reportedDemand[customer];
            share.before = share.after = 0;
            for (auto other = 0; other < entries; ++other) {
                const auto demand = double(m_entries[other]->reportedDemand[customer]);
                share.before += other < index ? demand : 0;
                share.after += other > index ? demand : 0;
            }
        }
        sum.own = shares[0].own + shares[1].own;
        sum.before = shares[0].before + shares[1].before;
        sum.after = shares[0].after + shares[1].after;
        static const std::vector<int> slots(workers, slotsPerWorker);
        const auto range = Routing::slotRange(sum, poolSlots);
        entry.allowances = Routing::slotAllowances(range, slots);
        entry.admission.setCapacity(
            std::accumulate(entry.allowances.begin(), entry.allowances.end(), 0));
        for (std::size_t customer = 0; customer < 2; ++customer) {
            const auto fraction = Routing::slotRange(shares[customer], poolSlots).fraction();
            const auto &terms = customers[customer];
            entry.admission.setCustomer(terms.name,
                                        {Routing::slotsOfFraction(fraction, terms.guaranteed),
                                         Routing::slotsOfFraction(fraction, terms.maximum)});
        }
    }

    auto startQueued(Entry &entry) -> void
    {
        const auto index = indexOf(entry);
        if (m_options.policy == Policy::StaticLimits) {
            while (!entry.fifo.empty() && entry.inFlight < poolSlots / entries) {
                const auto job = entry.fifo.front();
                entry.fifo.pop_front();
                if (!start(entry, index, job))
                    refuse(job);
            }
            return;
        }
        if (m_options.policy != Policy::Admission)
            return;
        refresh(entry);
        const auto changes = entry.admission.advance(instant());
        const auto take = [&](Routing::TicketId ticket) {
            return entry.queued.extract(ticket).mapped();
        };
        for (const auto ticket : changes.expired)
            refuse(take(ticket));
        for (const auto ticket : changes.evicted)
            refuse(take(ticket));
        for (const auto ticket : changes.started) {
            const auto job = take(ticket);
            if (!start(entry, index, job))
                retryLaterOrRefuse(entry, job);
        }
    }

    auto indexOf(const Entry &entry) const -> int
    {
        const auto isEntry = [&](const auto &other) { return other.get() == &entry; };
        return int(std::ranges::find_if(m_entries, isEntry) - m_entries.begin());
    }

    // Sends the job to workers until one accepts it; returns false if none does.
    auto start(Entry &entry, int index, const Job &job) -> bool
    {
        std::array<bool, workers> tried{};
        for (auto attempt = 0; attempt < maximumAttempts; ++attempt) {
            const auto isRetry = attempt > 0;
            if (isRetry && m_options.policy == Policy::Admission
                && !entry.budget.takeRetry(job.priority))
                return false;
            m_result.retries += isRetry ? 1 : 0;
            const auto worker = choose(entry, tried);
            tried[worker] = true;
            if (m_load[worker] >= slotsPerWorker)
                continue;
            ++m_load[worker];
            ++entry.own[worker];
            ++entry.inFlight;
            resultOf(job).waitsMs.push_back(m_now - job.arrivedMs);
            m_running[m_now + job.runMs].push_back({job, index, worker});
            return true;
        }
        return false;
    }

    auto choose(Entry &entry, const std::array<bool, workers> &tried) -> int
    {
        std::vector<int> loads;
        std::vector<int> indexes;
        for (const auto onlyFree : {true, false}) {
            for (auto worker = 0; worker < workers && (onlyFree || indexes.empty()); ++worker) {
                auto load = entry.own[worker];
                for (const auto &other : m_entries)
                    load += other.get() == &entry ? 0 : other->reported[worker];
                const auto isFull = m_options.policy == Policy::Admission
                                    && entry.own[worker] >= entry.allowances[worker];
                if (tried[worker] || (onlyFree && isFull && m_options.policy == Policy::Admission))
                    continue;
                loads.push_back(load);
                indexes.push_back(worker);
            }
            if (!indexes.empty())
                break;
        }
        auto &balancer = m_options.policy == Policy::Admission ? entry.balancer : entry.roundRobin;
        return indexes[balancer.pick(loads, poolSlots)];
    }

    auto finishWork() -> void
    {
        const auto due = m_running.find(m_now);
        if (due == m_running.end())
            return;
        for (const auto &work : due->second) {
            auto &entry = *m_entries[work.entry];
            --m_load[work.worker];
            --entry.own[work.worker];
            --entry.inFlight;
            entry.admission.finish(work.job.ticket);
            entry.admission.observeRun(Milliseconds(work.job.runMs));
            const auto inDeadline = m_now <= work.job.deadlineMs;
            auto &result = resultOf(work.job);
            ++(inDeadline ? result.inDeadline : result.late);
            m_result.workDone += inDeadline ? work.job.runMs : 0;
            recordOutcome(work.job, inDeadline);
        }
        m_running.erase(due);
    }

    auto report() -> void
    {
        for (auto index = 0; index < entries; ++index) {
            auto &entry = *m_entries[index];
            const auto phase = index * m_options.stalenessMs / entries;
            if ((m_now + phase) % m_options.stalenessMs != 0)
                continue;
            entry.reported = entry.own;
            for (std::size_t customer = 0; customer < 2; ++customer)
                entry.reportedDemand[customer] = entry.admission.demandOf(customers[customer].name);
        }
    }

    DemandOptions m_options;
    DemandResult &m_result;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::array<int, workers> m_load{};
    std::map<int, std::vector<Running>> m_running;
    std::map<int, std::vector<Running>> m_delayed;
    std::array<int, 2> m_urgentOutstanding{};
    double m_demandWindow = 0;
    int m_now = 0;
};

/*! \brief Simulates five pools that peak in turn, at five times their mean and 1.3 of capacity. */
inline auto runDemand(const DemandOptions &options) -> DemandResult
{
    constexpr auto pools = 5;
    constexpr auto peakMs = 4000;
    constexpr auto meanRunMs = 250.0;
    constexpr auto peakOverCapacity = 1.3;
    constexpr auto peakRate = peakOverCapacity * poolSlots / meanRunMs;
    constexpr auto quietRate = peakRate / 5 / 20;
    DemandResult result;
    std::vector<std::unique_ptr<PoolModel>> models;
    for (auto pool = 0; pool < pools; ++pool)
        models.push_back(std::make_unique<PoolModel>(options, options.seed * pools + pool, result));
    // No new work arrives during the last seconds, so that all queued work ends.
    constexpr auto drainMs = 25'000;
    for (auto now = 0; now < options.durationMs + drainMs; ++now) {
        for (auto pool = 0; pool < pools; ++pool) {
            const auto isPeak = (now / peakMs) % pools == pool;
            const auto rate = now >= options.durationMs ? 0 : isPeak ? peakRate : quietRate;
            models[pool]->step(now, rate);
        }
    }
    return result;
}

} // namespace PolicyModel
