#include "statedriver.h"

#include <random>

using Fleet::CommandBody;
using Fleet::MoveState;

namespace {

constexpr auto commandsPerSeed = 4000;
constexpr auto snapshotInterval = 500;

/*! \brief Makes random commands with few names, so that they often refer to the same objects. */
class RandomCommands
{
public:
    explicit RandomCommands(unsigned seed)
        : m_engine(seed)
    {}

    auto next(const Fleet::State &state) -> CommandBody
    {
        m_state = &state;
        using Maker = auto(RandomCommands::*)()->CommandBody;
        constexpr std::array makers{
            &RandomCommands::putContract,    &RandomCommands::registerHost,
            &RandomCommands::reportHost,     &RandomCommands::registerProcess,
            &RandomCommands::proposeMove,    &RandomCommands::decideMove,
            &RandomCommands::advanceMove,    &RandomCommands::advanceMove,
            &RandomCommands::advanceMove,    &RandomCommands::advanceMove,
            &RandomCommands::releaseHost,    &RandomCommands::releaseHost,
            &RandomCommands::releaseHost,    &RandomCommands::overrideRelease,
            &RandomCommands::claim,          &RandomCommands::claim,
            &RandomCommands::settle,         &RandomCommands::submitJob,
            &RandomCommands::startJob,       &RandomCommands::finishJob,
            &RandomCommands::otherJobCommand};
        const Maker maker = makers[std::size_t(number(int(makers.size())))];
        return (this->*maker)();
    }
    auto number(int below) -> int { return std::uniform_int_distribution(0, below - 1)(m_engine); }
    auto name(const std::string &prefix, int below) -> std::string
    {
        return prefix + std::to_string(number(below));
    }

private:
    // Returns one of the last few names, so that most commands refer to an object in progress.
    auto recent(const std::string &prefix, int last) -> std::string
    {
        return prefix + std::to_string(last - number(6));
    }
    auto putContract() -> CommandBody
    {
        Fleet::Contract contract;
        contract.customer = name("customer", 3);
        contract.services = {{"service0", "pool0", 2, 8, 0}, {"service1", "pool1", 2, 8, 0}};
        contract.disruption = {5 + number(4), 100'000, 100'000};
        return Fleet::PutContract{contract, true};
    }
    auto registerHost() -> CommandBody
    {
        return Fleet::RegisterHost{
            name("host", 8), name("service", 2), name("z", 3), name("rack", 8), 8};
    }
    auto reportHost() -> CommandBody { return Fleet::ReportHost{name("host", 8), number(4) == 0}; }
    auto registerProcess() -> CommandBody
    {
        m_incarnation += number(20) == 0 ? 1 : 0;
        return Fleet::RegisterProcess{name("process", 4), name("z", 3), m_incarnation, 100};
    }
    auto proposeMove() -> CommandBody
    {
        Fleet::Move move;
        m_moves += number(4) == 0 ? 1 : 0;
        move.id = recent("move", m_moves);
        move.kind = number(2) == 0 ? Fleet::MoveKind::Reassign : Fleet::MoveKind::Maintenance;
        move.host = name("host", 8);
        move.toPool = name("pool", 2);
        move.worstCaseHostS = 60;
        Fleet::ProposeMove command;
        command.move = move;
        command.approve = number(4) != 0;
        return command;
    }
    auto decideMove() -> CommandBody
    {
        Fleet::DecideMove command;
        command.move = recent("move", m_moves);
        command.approve = number(4) != 0;
        return command;
    }
    auto randomActiveMove() -> Fleet::Move
    {
        std::vector<Fleet::Move> open;
        for (const auto &[id, move] : m_state->moves()) {
            if (move.isOpen() && move.state != MoveState::Proposed)
                open.push_back(move);
        }
        return open.empty() ? Fleet::Move{} : open[std::size_t(number(int(open.size())))];
    }
    auto advanceMove() -> CommandBody
    {
        constexpr std::array steps{MoveState::Draining,
                                   MoveState::InMaintenance,
                                   MoveState::Soaking,
                                   MoveState::Done,
                                   MoveState::Failed};
        const auto move = randomActiveMove();
        Fleet::AdvanceMove command;
        command.move = move.id;
        command.from = move.state;
        command.to = steps[std::size_t(number(int(steps.size())))];
        // Takes the next step in most cases, so that some moves complete.
        if (number(4) != 0 && move.state == MoveState::Approved)
            command.to = MoveState::Draining;
        else if (number(4) != 0 && move.state == MoveState::Draining)
            command.to =
                move.kind == Fleet::MoveKind::Reassign ? MoveState::Done : MoveState::InMaintenance;
        return command;
    }
    auto releaseHost() -> CommandBody
    {
        const auto move = randomActiveMove();
        const auto *host = m_state->findHost(move.host);
        const auto process = name("process", 4);
        const auto *existing = m_state->findProcess(process);
        const auto incarnation = existing && number(4) != 0 ? existing->incarnation : m_incarnation;
        return Fleet::ReleaseHost{
            move.id, move.host, host ? host->assignmentEpoch : 1, process, incarnation};
    }
    auto overrideRelease() -> CommandBody
    {
        return Fleet::OverrideRelease{recent("move", m_moves), "the zone is lost"};
    }
    auto claim() -> CommandBody
    {
        Fleet::RequestClaim claim;
        claim.customer = "customer0";
        claim.key = name("key", 30);
        claim.fingerprint = "f";
        claim.process = name("process", 4);
        claim.incarnation = m_incarnation;
        claim.attempt = ++m_attempt;
        m_claims.push_back(claim);
        return Fleet::ClaimRequest{claim, 25};
    }
    auto settle() -> CommandBody
    {
        if (m_claims.empty())
            return claim();
        constexpr std::array outcomes{Fleet::ClaimOutcome::Answered,
                                      Fleet::ClaimOutcome::NotRun,
                                      Fleet::ClaimOutcome::NotRun,
                                      Fleet::ClaimOutcome::Unknown};
        const auto &claim = m_claims[std::size_t(number(int(m_claims.size())))];
        Fleet::SettleClaim command;
        command.customer = claim.customer;
        command.key = claim.key;
        command.process = claim.process;
        command.incarnation = claim.incarnation;
        command.attempt = claim.attempt;
        command.outcome = outcomes[std::size_t(number(int(outcomes.size())))];
        command.fence = number(4) == 0;
        if (command.outcome == Fleet::ClaimOutcome::Answered)
            command.answer = Fleet::StoredResponse{200, "text/plain", {}, {"ran"}};
        return command;
    }
    auto submitJob() -> CommandBody
    {
        Fleet::Job job;
        m_jobs += number(3) == 0 ? 1 : 0;
        job.id = recent("job", m_jobs);
        job.customer = "customer0";
        job.service = name("service", 2);
        job.idempotent = number(2) == 0;
        return Fleet::SubmitJob{job, 500};
    }
    auto startJob() -> CommandBody
    {
        return Fleet::StartJob{"", name("service", 2), name("host", 8), 50 + number(500), {}};
    }
    auto finishJob() -> CommandBody
    {
        constexpr std::array outcomes{
            Fleet::JobOutcome::Done, Fleet::JobOutcome::Failed, Fleet::JobOutcome::NotRun};
        auto job = recent("job", m_jobs);
        const auto *existing = m_state->jobs().find(job);
        const auto attempt = existing && number(3) != 0 ? existing->attempt : 1 + number(3);
        return Fleet::FinishJob{std::move(job), attempt, outcomes[std::size_t(number(3))], {}};
    }
    auto otherJobCommand() -> CommandBody
    {
        const auto kind = number(4);
        if (kind == 0)
            return Fleet::CancelJob{recent("job", m_jobs), "customer0"};
        if (kind == 1)
            return Fleet::ResolveJob{recent("job", m_jobs), number(2) == 0, "checked"};
        if (kind == 2)
            return Fleet::CheckpointJob{recent("job", m_jobs), 1 + number(3), 200, {"half"}};
        return Fleet::ExpireJobs{1'000'000'000};
    }

    std::mt19937 m_engine;
    const Fleet::State *m_state = nullptr;
    std::int64_t m_incarnation = 1;
    std::int64_t m_attempt = 0;
    int m_moves = 0;
    int m_jobs = 0;
    std::vector<Fleet::RequestClaim> m_claims;
};

/*! \brief Checks the invariants that must hold across commands after each accepted command. */
class Invariants
{
public:
    auto check(const Fleet::State &state, const CommandBody &body) -> void
    {
        checkHosts(state);
        if (const auto *claim = std::get_if<Fleet::ClaimRequest>(&body))
            claimed(claim->claim);
        if (const auto *settle = std::get_if<Fleet::SettleClaim>(&body))
            settled(*settle);
        if (const auto *finish = std::get_if<Fleet::FinishJob>(&body))
            finished(*finish);
        const auto *advance = std::get_if<Fleet::AdvanceMove>(&body);
        if (advance && advance->from != advance->to && advance->to == MoveState::Draining)
            checkGrants(state, *state.findMove(advance->move));
        EXPECT_GE(state.commandTimeMs(), m_timeMs);
        m_timeMs = state.commandTimeMs();
    }
    int claims = 0;
    int commits = 0;
    int drains = 0;
    int reassigned = 0;

private:
    auto checkHosts(const Fleet::State &state) -> void
    {
        for (const auto &[id, host] : state.hosts()) {
            EXPECT_TRUE(state.pools().contains(host.pool));
            const auto existing = m_hosts.find(id);
            if (existing != m_hosts.end()) {
                const auto changed = existing->second.pool != host.pool;
                EXPECT_GE(host.assignmentEpoch, existing->second.assignmentEpoch);
                EXPECT_TRUE(!changed || host.assignmentEpoch > existing->second.assignmentEpoch);
                reassigned += changed ? 1 : 0;
            }
            m_hosts[id] = host;
        }
    }
    auto checkGrants(const Fleet::State &state, const Fleet::Move &move) -> void
    {
        ++drains;
        for (const auto &[customer, contract] : state.contracts()) {
            if (!contract.usesPool(move.fromPool))
                continue;
            const auto status = state.ledger().status(contract, state.commandTimeMs());
            EXPECT_LE(status.unavailableHosts, contract.disruption.maxUnavailableHosts);
            EXPECT_LE(status.spentHostS + status.escrowHostS, contract.disruption.budgetHostS);
        }
    }
    // Records that the claim's request may run from now on, until its attempt releases it.
    auto claimed(const Fleet::RequestClaim &claim) -> void
    {
        const auto holder = m_holders.find(claim.key);
        if (holder == m_holders.end()) {
            ++claims;
            m_holders[claim.key] = claim.attempt;
        } else {
            EXPECT_EQ(holder->second, claim.attempt) << "a second attempt may run " << claim.key;
        }
    }
    auto settled(const Fleet::SettleClaim &settle) -> void
    {
        const auto holder = m_holders.find(settle.key);
        if (holder == m_holders.end() || holder->second != settle.attempt)
            return;
        if (settle.outcome == Fleet::ClaimOutcome::Answered)
            m_answered.insert(settle.key);
        else if (settle.outcome == Fleet::ClaimOutcome::NotRun && !m_answered.contains(settle.key))
            m_holders.erase(holder);
    }
    auto finished(const Fleet::FinishJob &finish) -> void
    {
        if (finish.outcome != Fleet::JobOutcome::Done)
            return;
        const auto [existing, isNew] = m_commits.emplace(finish.job, finish.attempt);
        commits += isNew ? 1 : 0;
        EXPECT_EQ(existing->second, finish.attempt) << "two attempts committed " << finish.job;
    }

    std::map<std::string, Fleet::Host> m_hosts;
    std::map<std::string, std::int64_t> m_holders; //!< Attempt that holds the claim, by key.
    std::set<std::string> m_answered;
    std::map<std::string, std::int64_t> m_commits; //!< Committed attempt, by job.
    Fleet::WallTimeMs m_timeMs = 0;
};

class StateProperties : public testing::TestWithParam<unsigned>
{};

auto encoded(const CommandBody &body, Fleet::Revision revision, Fleet::WallTimeMs timeMs)
    -> std::string
{
    Fleet::Command command;
    command.id = "command-" + std::to_string(revision);
    command.actor = "tester";
    command.timeMs = timeMs;
    command.body = body;
    return Fleet::encodeCommand(command);
}

} // namespace

TEST_P(StateProperties, HoldOverRandomCommands)
{
    RandomCommands random(GetParam());
    Invariants invariants;
    Fleet::Replica replica;
    Fleet::Replica replayed;
    auto restored = std::make_unique<Fleet::Replica>();
    std::map<std::string, std::string> firstReplies; //!< Stored results, by payload.
    Fleet::WallTimeMs timeMs = 1'000'000;
    for (Fleet::Revision revision = 1; revision <= commandsPerSeed; ++revision) {
        timeMs += random.number(60) - 5;
        auto body = replica.read([&](const Fleet::State &state) { return random.next(state); });
        auto payload = encoded(body, revision, timeMs);
        const auto isResend = !firstReplies.empty() && random.number(20) == 0;
        if (isResend)
            payload =
                std::next(firstReplies.begin(), random.number(int(firstReplies.size())))->first;
        const auto reply = replica.apply({revision, 1, payload});
        EXPECT_EQ(replayed.apply({revision, 1, payload}), reply);
        EXPECT_EQ(restored->apply({revision, 1, payload}), reply);
        if (isResend) {
            EXPECT_EQ(reply, firstReplies[payload]) << "a resend got another result";
            continue;
        }
        if (Fleet::keepsResult(body))
            firstReplies[payload] = reply;
        if (Utils::fromCbor<Fleet::CommandResult>(reply).value().accepted)
            replica.read([&](const Fleet::State &state) { invariants.check(state, body); });
        if (revision % snapshotInterval == 0) {
            const auto snapshot = replica.snapshot();
            restored = std::make_unique<Fleet::Replica>();
            ASSERT_TRUE(restored->restore(snapshot, revision));
            EXPECT_EQ(restored->snapshot(), snapshot);
        }
    }
    EXPECT_EQ(replayed.snapshot(), replica.snapshot());
    EXPECT_EQ(restored->snapshot(), replica.snapshot());
    // The random commands must have reached the states that the invariants cover.
    EXPECT_GT(invariants.claims, 20);
    EXPECT_GT(invariants.commits, 0);
    EXPECT_GT(invariants.drains, 0);
    EXPECT_GT(invariants.reassigned, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, StateProperties, testing::Values(1U, 2U, 3U, 5U, 13U, 21U));
