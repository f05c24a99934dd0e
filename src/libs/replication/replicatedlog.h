#pragma once

#include "voterset.h"

#include "utils/clock.h"
#include "utils/error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/*! The elected, replicated log that carries the fleet's state, and its observers. */
namespace Replication {

using Revision = std::uint64_t;

/*! \brief What an entry's payload is. */
enum class EntryKind {
    Command, //!< For the state machine; empty at the start of a leader's term.
    Voters,  //!< The encoded voter set from this entry on.
};

/*! \brief A committed entry. Revisions start at 1 and have no gaps. */
struct Entry
{
    Revision revision = 0;
    std::uint64_t term = 0;
    std::string payload;
    EntryKind kind = EntryKind::Command;
};

/*!
    \brief The state that committed entries are applied to.

    apply() is called once for each revision in order, from one thread at a time,
    and must be deterministic: every process applies the same entries.
*/
class StateMachine
{
public:
    virtual ~StateMachine() = default;
    /*! \brief Applies \a entry and returns the reply for the submitter. Entries without payload change nothing. */
    virtual auto apply(const Entry &entry) -> std::string = 0;
    /*! \brief Returns the whole state as bytes. */
    virtual auto snapshot() const -> std::string = 0;
    /*! \brief Replaces the whole state by that of a snapshot taken at \a revision. */
    virtual auto restore(std::string_view bytes, Revision revision) -> Utils::Result<void> = 0;
};

struct SubmitReply
{
    Revision revision = 0;
    std::string reply; //!< What StateMachine::apply() returned.
};

enum class Role { Leader, Follower, Candidate, Observer };

/*! \brief What one process last told about itself. */
struct ProcessProgress
{
    Revision appliedRevision = 0;
    Utils::Milliseconds age{0}; //!< Time since it was last heard of.
};

struct LogStatus
{
    Role role = Role::Follower;
    std::uint64_t term = 0;
    std::string leaderId; //!< Empty if no leader is known.
    Revision commitRevision = 0;
    Revision appliedRevision = 0;
    //! True if this process recently had contact with a leader that has a majority, or is one.
    bool hasQuorum = false;
    //! True once the state here was confirmed by the leader or, cut off, taken from zone peers.
    bool ready = false;
    std::map<std::string, ProcessProgress>
        progress;                      //!< By process id, complete at the leader only.
    std::vector<Voter> voters;         //!< As the voters know them; empty at observers.
    Utils::Milliseconds leadingFor{0}; //!< How long this process has led; 0 if it does not.
};

/*!
    \brief One process's access to the replicated log. Thread-safe.

    Any process may submit: a process that does not lead forwards to the leader.
*/
class ReplicatedLog
{
public:
    virtual ~ReplicatedLog() = default;
    virtual auto start() -> Utils::Result<void> = 0;
    /*! \brief Hands over leadership, then stops. */
    virtual auto stop() -> void = 0;
    /*!
        \brief Commits \a payload and returns once this process has applied it.

        Fails with NoQuorum or NotLeader if it was certainly not committed and with
        OutcomeUnknown if it may have been or may yet be committed.
    */
    virtual auto submit(std::string payload, Utils::Milliseconds timeout)
        -> Utils::Result<SubmitReply> = 0;
    /*! \brief Waits until a revision confirmed by the leader is applied here, and returns it. */
    virtual auto confirmRevision(Utils::Milliseconds timeout) -> Utils::Result<Revision> = 0;
    virtual auto status() const -> LogStatus = 0;
    /*! \brief Returns the leader's status, whose progress covers all processes. */
    virtual auto leaderStatus(Utils::Milliseconds) -> Utils::Result<LogStatus> { return status(); }
    /*!
        \brief Adds \a added to the voters, then removes \a removedId.

        The new voter counts from its entry on, before it has caught up: with another voter
        down, commits wait until it has. An empty \a removedId removes none. Safe to repeat after any failure.
    */
    virtual auto replaceVoter(const std::string &removedId,
                              const Voter &added,
                              Utils::Milliseconds timeout) -> Utils::Result<void>;
};

} // namespace Replication
