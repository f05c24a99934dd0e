#pragma once

#include "utils/error.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/*! Durable files of a state replica: the write-ahead log and snapshots. */
namespace Store {

/*! \brief One record read back from the log. */
struct Record
{
    std::uint64_t offset = 0;
    std::string payload;
};

/*!
    \brief An append-only file of records, each with its length and checksum.

    Not thread-safe. A torn record at the end is cut off when the log is opened;
    a damaged record before the end is reported with file and offset.
*/
class WriteAheadLog
{
public:
    WriteAheadLog() = default;
    ~WriteAheadLog();
    WriteAheadLog(const WriteAheadLog &) = delete;
    auto operator=(const WriteAheadLog &) -> WriteAheadLog & = delete;

    /*! \brief Opens or creates the log at \a path and returns its records. */
    auto open(const std::string &path) -> Utils::Result<std::vector<Record>>;
    /*! \brief Appends all \a payloads and syncs once. */
    auto append(std::span<const std::string> payloads) -> Utils::Result<void>;

private:
    std::string m_path;
    int m_file = -1;
    std::uint64_t m_size = 0;
};

} // namespace Store
