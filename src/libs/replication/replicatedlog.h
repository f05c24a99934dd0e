#pragma once

#include "voterset.h"

#include "utils/clock.h"
#include "utils/error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/*! The replicated log of the fleet's state, with an elected leader, voters and observers. */
namespace Replication {

using Revision = std::uint64_t;

/*! \brief Kind of an entry's payload. */
enum class EntryKind {
    Command, //!< Input of the state machine; empty in the first entry of a leader's term.
    Voters,  //!< Encoded voter set, in force from this entry on.
};

/*! \brief An entry of the log. Revisions start at 1 and have no gaps. */
struct Entry
{
    Revision revision = 0;
    std::uint64_t term = 0;
    std::string payload;
    EntryKind kind = EntryKind::Command;
};

/*!
    \brief The state that committed entries are applied to.

    apply() is called once for each revision, in order and from one thread at a time. It must be
    deterministic, since every process applies the same entries.
*/
class StateMachine
{
public:
    virtual ~StateMachine() = default;
    /*!
        \brief Applies \a entry and returns the reply for the submitter.

        An entry without a payload must not change the state.
    */
    virtual auto apply(const Entry &entry) -> std::string = 0;
    /*! \brief Returns the whole state in serialized form. */
    virtual auto snapshot() const -> std::string = 0;
    /*! \brief Replaces the whole state by \a bytes, a snapshot taken at \a revision. */
    virtual auto restore(std::string_view bytes, Revision revision) -> Utils::Result<void> = 0;
};

struct SubmitReply
{
    Revision revision = 0;
    std::string reply; //!< Return value of StateMachine::apply().
};

enum class Role { Leader, Follower, Candidate, Observer };

/*! \brief Progress that one process last reported. */
struct ProcessProgress
{
    Revision appliedRevision = 0;
    Utils::Milliseconds age{0}; //!< Time since the report.
};

struct LogStatus
{
    Role role = Role::Follower;
    std::uint64_t term = 0;
    std::string leaderId; //!< Empty if no leader is known.
    Revision commitRevision = 0;
    Revision appliedRevision = 0;
    //! True if this process is a leader in contact with a majority or recently heard from
    //! such a leader.
    bool hasQuorum = false;
    //! True once the state is up to date with a leader. An observer without contact to a leader
    //! also becomes ready when it has tried its zone peers and holds at least one entry.
    bool ready = false;
    std::map<std::string, ProcessProgress>
        progress;                      //!< By process id; only the leader has all processes.
    std::vector<Voter> voters;         //!< Current voter set; empty on observers.
    Utils::Milliseconds leadingFor{0}; //!< Time since this process leads; 0 if it does not.
};

/*! \brief A proof that a process was the leader of a term. */
struct LeadershipProof
{
    std::uint64_t term = 0;
    Utils::Milliseconds age{0}; //!< Time since which another process may have begun to lead.
};

/*!
    \brief One process's access to the replicated log. Thread-safe.

    Any process may submit: a process other than the leader forwards the payload to the leader, unless
    the group's options say that none forwards.
*/
class ReplicatedLog
{
public:
    virtual ~ReplicatedLog() = default;
    virtual auto start() -> Utils::Result<void> = 0;
    /*! \brief Stops after an attempt to transfer leadership, if this process leads. */
    virtual auto stop() -> void = 0;
    /*!
        \brief Commits \a payload and returns once this process has applied it.

        Fails with NoQuorum or NotLeader if \a payload was certainly not committed, and with
        OutcomeUnknown if it may have been committed or may still be.
    */
    virtual auto submit(std::string payload, Utils::Milliseconds timeout)
        -> Utils::Result<SubmitReply> = 0;
    /*!
        \brief As submit(), but only commits in \a term, and if this process is its leader.

        Fails with NotLeader otherwise.
    */
    virtual auto submitInTerm(std::uint64_t term, std::string payload, Utils::Milliseconds timeout)
        -> Utils::Result<SubmitReply>;
    /*!
        \brief Returns the youngest proof that this process leads, or std::nullopt if there is none.

        Its age counts from the sending of the messages that a majority has answered, and includes
        times for which the host was suspended. The call is cheap.
    */
    virtual auto leadershipProof() const -> std::optional<LeadershipProof> { return std::nullopt; }
    /*!
        \brief Waits until the leader's confirmed commit revision is applied here, and returns it.
    */
    virtual auto confirmRevision(Utils::Milliseconds timeout) -> Utils::Result<Revision> = 0;
    /*! \brief Stops leading if this process leads in \a term; the next leader has a higher term. */
    virtual auto resign(std::uint64_t) -> void {}
    virtual auto status() const -> LogStatus = 0;
    /*! \brief Returns the leader's status, whose progress covers all processes. */
    virtual auto leaderStatus(Utils::Milliseconds) -> Utils::Result<LogStatus> { return status(); }
    /*!
        \brief Adds \a added to the voters, then removes \a removedId.

        The new voter counts for the majority from its log entry on, even before it has caught up:
        if another voter is down, commits wait until the new one has caught up. An empty \a
        removedId removes no voter. The call can be repeated safely after any failure.
    */
    virtual auto replaceVoter(const std::string &removedId,
                              const Voter &added,
                              Utils::Milliseconds timeout) -> Utils::Result<void>;
};

} // namespace Replication
