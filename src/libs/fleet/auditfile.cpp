#include "auditfile.h"

#include <algorithm>
#include <sstream>

namespace Fleet {

namespace {

constexpr std::string_view fileName = "audit.jsonl";

auto parseLine(const std::string &line) -> Utils::Result<AuditRecord>
{
    return Utils::fromJsonText<AuditRecord>(line);
}

auto recordsAfter(const Replica &replica, Revision revision) -> std::vector<AuditRecord>
{
    return replica.read([&](const State &state) {
        const auto &audit = state.audit();
        const auto first = std::upper_bound(
            audit.begin(), audit.end(), revision, [](Revision last, const AuditRecord &record) {
                return last < record.revision;
            });
        return std::vector<AuditRecord>(first, audit.end());
    });
}

} // namespace

AuditFile::AuditFile(Store::FileSystem &files, std::string folder)
    : m_files(files)
    , m_folder(std::move(folder))
{}

auto AuditFile::path() const -> std::string
{
    return m_folder + '/' + std::string(fileName);
}

auto AuditFile::open() -> Utils::Result<void>
{
    const std::scoped_lock lock(m_mutex);
    BOOST_OUTCOME_TRY(m_files.createFolder(m_folder));
    BOOST_OUTCOME_TRY(file, m_files.open(path()));
    BOOST_OUTCOME_TRY(text, m_files.read(path()));
    const auto end = text.rfind('\n') + 1;
    if (end != text.size()) {
        BOOST_OUTCOME_TRY(file->truncate(end));
        text.resize(end);
    }
    m_lastRevision = 0;
    if (end > 1) {
        const auto begin = text.rfind('\n', end - 2) + 1;
        BOOST_OUTCOME_TRY(last, parseLine(text.substr(begin, end - 1 - begin)));
        m_lastRevision = last.revision;
    }
    m_open = true;
    return Utils::success();
}

auto AuditFile::update(const Replica &replica) -> Utils::Result<void>
{
    if (!m_open) {
        BOOST_OUTCOME_TRY(open());
    }
    const std::scoped_lock lock(m_mutex);
    const auto records = recordsAfter(replica, m_lastRevision);
    if (records.empty())
        return Utils::success();
    const auto appended = append(records);
    // After a failed write, the next update reads the end of the file again.
    m_open = bool(appended);
    return appended;
}

auto AuditFile::append(std::span<const AuditRecord> records) -> Utils::Result<void>
{
    std::string lines;
    for (const auto &record : records)
        lines += Utils::toJson(record).dump() + '\n';
    BOOST_OUTCOME_TRY(file, m_files.open(path()));
    BOOST_OUTCOME_TRY(file->append(lines));
    BOOST_OUTCOME_TRY(file->sync());
    m_lastRevision = records.back().revision;
    return Utils::success();
}

auto AuditFile::read(Revision since, Revision before) const
    -> Utils::Result<std::vector<AuditRecord>>
{
    const std::scoped_lock lock(m_mutex);
    std::vector<AuditRecord> records;
    BOOST_OUTCOME_TRY(text, m_files.read(path()));
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        BOOST_OUTCOME_TRY(record, parseLine(line));
        if (record.revision >= since && record.revision < before)
            records.push_back(std::move(record));
    }
    return records;
}

} // namespace Fleet
