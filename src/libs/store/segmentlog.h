#pragma once

#include "filesystem.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Store {

/*! \brief One entry of the replicated log as stored in a file. */
struct LogRecord
{
    std::uint64_t revision = 0;
    std::uint64_t term = 0;
    std::uint32_t kind = 0;
    std::string payload;
};

struct SegmentLogOptions
{
    std::string folder;
    std::uint64_t segmentBytes = 8 * 1024 * 1024; //!< Size from which on a new segment is started.
};

/*!
    \brief The write-ahead log, stored as numbered segment files of checksummed batches. Not
    thread-safe.

    A batch is written and synced as a whole. A batch that starts at or below the last revision
    replaces all entries from its first revision on, so that a suffix of the log is truncated by
    writing its replacement. A failed write is undone and fails with nothingWritten(). After a
    failed sync, or a write that cannot be undone, every later append() fails.
*/
class SegmentLog
{
public:
    SegmentLog(FileSystem &files, SegmentLogOptions options);

    /*!
        \brief Reads all segments and returns the current entries, without those that were replaced.

        An incomplete batch at the end of the last segment is truncated. Any other damage fails
        with Corruption and details that name the file and the offset. Entries up to
        \a snapshotRevision may be missing from the segments.
    */
    auto open(std::uint64_t snapshotRevision) -> Utils::Result<std::vector<LogRecord>>;
    /*! \brief Appends \a records as one batch and syncs the file once. */
    auto append(std::span<const LogRecord> records) -> Utils::Result<void>;
    /*! \brief Removes the oldest closed segments that contain no revision above \a revision. */
    auto removeThrough(std::uint64_t revision) -> Utils::Result<void>;
    /*! \brief Removes all entries; the next append may start at any revision. */
    auto reset() -> Utils::Result<void>;
    /*! \brief Returns the size of all segments in bytes. */
    auto size() const -> std::uint64_t;

private:
    struct Segment
    {
        std::uint64_t number = 0;
        std::uint64_t highestRevision = 0;
        std::uint64_t size = 0;
    };

    auto pathOf(std::uint64_t number) const -> std::string;
    auto readSegment(Segment &segment,
                     bool last,
                     std::uint64_t snapshotRevision,
                     std::vector<LogRecord> &records) -> Utils::Result<void>;
    auto startSegment() -> Utils::Result<void>;
    auto writeBatch(std::string_view batch) -> Utils::Result<void>;

    FileSystem &m_files;
    SegmentLogOptions m_options;
    std::vector<Segment> m_segments;
    std::unique_ptr<File> m_current;
    bool m_failed = false;
};

} // namespace Store
