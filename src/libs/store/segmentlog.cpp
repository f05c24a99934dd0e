#include "segmentlog.h"

#include "batchformat.h"

#include "utils/log.h"

#include <algorithm>
#include <charconv>

namespace Store {
namespace {

constexpr std::string_view segmentPrefix = "log-";
constexpr int segmentDigits = 12;

auto segmentName(std::uint64_t number) -> std::string
{
    const auto digits = std::to_string(number);
    return std::string(segmentPrefix)
           + std::string(std::size_t(std::max(0, segmentDigits - int(digits.size()))), '0')
           + digits;
}

auto segmentNumber(std::string_view name) -> std::uint64_t
{
    if (!name.starts_with(segmentPrefix))
        return 0;
    name.remove_prefix(segmentPrefix.size());
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
    return error == std::errc() && end == name.data() + name.size() ? number : 0;
}

auto corruption(const std::string &path, std::uint64_t offset, std::string message)
{
    return Utils::failure(Utils::ErrorType::Corruption,
                          std::move(message),
                          path + " at offset " + std::to_string(offset));
}

// Adds an entry, which replaces all entries from its revision on. Returns false if entries between
// it and the previous entry or the snapshot are missing.
auto addRecord(std::vector<LogRecord> &records, LogRecord record, std::uint64_t snapshotRevision)
    -> bool
{
    const auto last = records.empty() ? 0 : records.back().revision;
    if (records.empty() || record.revision > last + 1) {
        if (record.revision > snapshotRevision + 1)
            return false;
        records.clear();
    } else if (record.revision <= records.front().revision) {
        records.clear();
    } else {
        records.resize(record.revision - records.front().revision);
    }
    records.push_back(std::move(record));
    return true;
}

} // namespace

SegmentLog::SegmentLog(FileSystem &files, SegmentLogOptions options)
    : m_files(files)
    , m_options(std::move(options))
{}

auto SegmentLog::open(std::uint64_t snapshotRevision) -> Utils::Result<std::vector<LogRecord>>
{
    BOOST_OUTCOME_TRY(names, m_files.list(m_options.folder));
    for (const auto &name : names) {
        if (const auto number = segmentNumber(name))
            m_segments.push_back({number, 0, 0});
    }
    std::ranges::sort(m_segments, {}, &Segment::number);
    std::vector<LogRecord> records;
    for (auto &segment : m_segments) {
        const auto last = &segment == &m_segments.back();
        BOOST_OUTCOME_TRY(readSegment(segment, last, snapshotRevision, records));
    }
    if (m_segments.empty()) {
        BOOST_OUTCOME_TRY(startSegment());
        return records;
    }
    BOOST_OUTCOME_TRY(file, m_files.open(pathOf(m_segments.back().number)));
    m_current = std::move(file);
    return records;
}

auto SegmentLog::append(std::span<const LogRecord> records) -> Utils::Result<void>
{
    if (m_failed)
        return Utils::failure(Utils::ErrorType::IoFailure, "an earlier write of the log failed");
    if (records.empty())
        return Utils::success();
    if (m_segments.back().size >= m_options.segmentBytes) {
        if (const auto started = startSegment(); !started)
            return nothingWritten(started.error());
    }
    const auto batch = encodeBatch(records);
    BOOST_OUTCOME_TRY(writeBatch(batch));
    auto &segment = m_segments.back();
    segment.size += batch.size();
    segment.highestRevision = std::max(segment.highestRevision, records.back().revision);
    return Utils::success();
}

auto SegmentLog::removeThrough(std::uint64_t revision) -> Utils::Result<void>
{
    auto removed = false;
    // The oldest segment is removed first, so that a crash leaves no gap in the log.
    while (m_segments.size() > 1 && m_segments.front().highestRevision <= revision) {
        BOOST_OUTCOME_TRY(m_files.remove(pathOf(m_segments.front().number)));
        m_segments.erase(m_segments.begin());
        removed = true;
    }
    if (!removed)
        return Utils::success();
    return m_files.syncFolder(m_options.folder);
}

auto SegmentLog::reset() -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(startSegment());
    // The newest segment is removed first, so that a crash leaves a prefix of the log, which the
    // snapshot covers.
    while (m_segments.size() > 1) {
        const auto index = m_segments.size() - 2;
        BOOST_OUTCOME_TRY(m_files.remove(pathOf(m_segments[index].number)));
        m_segments.erase(m_segments.begin() + std::ptrdiff_t(index));
    }
    return m_files.syncFolder(m_options.folder);
}

auto SegmentLog::size() const -> std::uint64_t
{
    std::uint64_t total = 0;
    for (const auto &segment : m_segments)
        total += segment.size;
    return total;
}

auto SegmentLog::pathOf(std::uint64_t number) const -> std::string
{
    return m_options.folder + '/' + segmentName(number);
}

auto SegmentLog::readSegment(Segment &segment,
                             bool last,
                             std::uint64_t snapshotRevision,
                             std::vector<LogRecord> &records) -> Utils::Result<void>
{
    const auto path = pathOf(segment.number);
    BOOST_OUTCOME_TRY(content, m_files.read(path));
    const std::string_view view(content);
    std::uint64_t offset = 0;
    while (offset < view.size()) {
        auto batch = decodeBatch(view.substr(offset), offset);
        if (batch.state == BatchState::Damaged || (batch.state == BatchState::Torn && !last))
            return corruption(path, offset, "the log is damaged");
        if (batch.state == BatchState::Torn) {
            Utils::Log::warning("store",
                                "truncated an incomplete batch at the end of the log",
                                {{"file", path}, {"offset", offset}});
            BOOST_OUTCOME_TRY(file, m_files.open(path));
            BOOST_OUTCOME_TRY(file->truncate(offset));
            BOOST_OUTCOME_TRY(file->sync());
            break;
        }
        for (auto &record : batch.records) {
            segment.highestRevision = std::max(segment.highestRevision, record.revision);
            if (!addRecord(records, std::move(record), snapshotRevision))
                return corruption(
                    path, offset, "entries are missing from the log, and no snapshot covers them");
        }
        offset += batch.size;
    }
    segment.size = offset;
    return Utils::success();
}

auto SegmentLog::startSegment() -> Utils::Result<void>
{
    const auto number = m_segments.empty() ? 1 : m_segments.back().number + 1;
    BOOST_OUTCOME_TRY(file, m_files.open(pathOf(number)));
    BOOST_OUTCOME_TRY(m_files.syncFolder(m_options.folder));
    m_current = std::move(file);
    m_segments.push_back({number, 0, 0});
    return Utils::success();
}

auto SegmentLog::writeBatch(std::string_view batch) -> Utils::Result<void>
{
    if (const auto written = m_current->append(batch); !written) {
        const auto undone = m_current->truncate(m_segments.back().size);
        m_failed = !undone;
        return undone ? nothingWritten(written.error()) : undone.error();
    }
    const auto synced = m_current->sync();
    m_failed = !synced;
    return synced;
}

} // namespace Store
