#pragma once

#include "modelleader.h"
#include "modellog.h"

#include <map>
#include <memory>
#include <vector>

namespace ExecutionTest {

/*! \brief Handles the announcements of endpoints as ControlService does. */
class ModelMembership
{
public:
    explicit ModelMembership(ModelLog &log);

    /*! \brief Sets the leader that receives announcements from now on; there may be none. */
    auto use(const std::shared_ptr<ModelLeader> &leader) -> void;
    auto announce(const Control::EndpointRecord &record, std::int64_t sequence) -> void;
    /*! \brief Handles the announcement of \a incarnation that it is shutting down. */
    auto leave(const Control::EndpointIncarnation &incarnation) -> void;

private:
    auto leads() const -> bool { return m_leader && m_leader->isActive(); }
    auto isNew(const Control::EndpointRecord &record) const -> bool;
    auto findReplaced(const Control::EndpointRecord &record) const
        -> std::vector<Control::EndpointIncarnation>;
    auto isStaleAtAddress(const Control::EndpointRecord &record) const -> bool;
    auto add(const Control::EndpointRecord &record) -> void;
    auto takeOver(const Control::EndpointIncarnation &incarnation) -> void;

    ModelLog &m_log;
    std::shared_ptr<ModelLeader> m_leader;
    std::map<Control::EndpointIncarnation, std::int64_t> m_sequences;
};

} // namespace ExecutionTest
