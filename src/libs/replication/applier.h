#pragma once

#include "replicatedlog.h"

#include "store/snapshotstore.h"

#include <functional>
#include <memory>
#include <mutex>

namespace Replication::Internal {

/*! \brief A part of a snapshot that is sent in one message. */
struct SnapshotPart
{
    std::shared_ptr<const Store::Snapshot> snapshot; //!< nullptr if no longer available.
    std::string_view data;
    bool last = false;
};

/*!
    \brief Applies entries to the state machine in order and takes its snapshots.

    Callers lock mutex() around apply() and restore(); takeSnapshot() and snapshotPart() lock it
    themselves.
*/
class Applier
{
public:
    explicit Applier(StateMachine &machine);

    auto mutex() -> std::mutex & { return m_mutex; }
    /*! \brief Applies \a entry, which must follow the last one, and returns the reply. */
    auto apply(const Entry &entry) -> std::string;
    auto restore(const Store::Snapshot &snapshot) -> Utils::Result<void>;
    auto voters() const -> const VoterSet & { return m_voters; }
    auto setVoters(VoterSet voters) -> void { m_voters = std::move(voters); }

    /*! \brief Takes a snapshot at the applied revision. */
    auto takeSnapshot() -> std::shared_ptr<const Store::Snapshot>;
    /*!
        \brief Returns a part of the snapshot at \a revision, starting at \a offset.

        A \a revision of 0 takes a new snapshot.
    */
    auto snapshotPart(Revision revision, std::uint64_t offset) -> SnapshotPart;

private:
    StateMachine &m_machine;
    std::mutex m_mutex;
    Revision m_revision = 0;
    std::uint64_t m_term = 0;
    VoterSet m_voters;
    std::shared_ptr<const Store::Snapshot> m_servedSnapshot;
};

} // namespace Replication::Internal
