#pragma once

#include "commandresult.h"

namespace Fleet {

/*! \brief The first result of a command, and the digest that identifies the command's content. */
struct StoredResult
{
    CommandResult result;
    std::string digest; //!< Digest of the command's type and body.
    WallTimeMs timeMs = 0;
};

/*!
    \brief Results of recent commands by command id, so that a resend gets the first result.

    The number of results and their age in command time are limited.
*/
class ResultTable
{
public:
    static constexpr std::size_t maximumResults = 4096;
    static constexpr WallTimeMs retentionMs = 24 * 3'600'000;

    auto find(const std::string &commandId) const -> const StoredResult *;
    /*! \brief Stores a result and removes the oldest results that exceed the limits. */
    auto store(const std::string &commandId, StoredResult stored) -> void;
    auto size() const -> std::size_t { return m_results.size(); }

    template <typename Archive>
    friend auto describe(Archive &archive, ResultTable &table) -> void
    {
        archive.optional("by_command", table.m_results);
        if constexpr (Archive::isReader)
            table.rebuildOrder();
    }

private:
    auto rebuildOrder() -> void;
    auto removeExcess(WallTimeMs nowMs) -> void;

    std::map<std::string, StoredResult> m_results;
    std::map<Revision, std::string> m_order; //!< Command ids by revision, oldest first.
};

template <typename Archive>
auto describe(Archive &archive, StoredResult &stored) -> void
{
    archive.required("result", stored.result);
    archive.optional("digest", stored.digest);
    archive.optional("time_ms", stored.timeMs);
}

} // namespace Fleet
