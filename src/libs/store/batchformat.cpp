#include "batchformat.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace Store {
namespace {

constexpr std::uint32_t batchMagic = 0x3142'4c54;
constexpr std::uint64_t maximumBatchBytes = 1024ULL * 1024 * 1024;
constexpr std::uint64_t sectorBytes = 512;

struct BatchHeader
{
    std::uint32_t magic = batchMagic;
    std::uint32_t recordCount = 0;
    std::uint64_t bodyBytes = 0;
    std::uint64_t bodyChecksum = 0;
    std::uint64_t headerChecksum = 0;
};

struct RecordHeader
{
    std::uint64_t revision = 0;
    std::uint64_t term = 0;
    std::uint32_t kind = 0;
    std::uint32_t payloadBytes = 0;
};

constexpr auto headerBytes = sizeof(BatchHeader);

auto checksumOf(const BatchHeader &header) -> std::uint64_t
{
    return XXH3_64bits(&header, headerBytes - sizeof header.headerChecksum);
}

template <typename T>
auto readAs(std::string_view bytes) -> T
{
    T value;
    std::memcpy(&value, bytes.data(), sizeof value);
    return value;
}

template <typename T>
auto appendAs(std::string &bytes, const T &value) -> void
{
    bytes.append(reinterpret_cast<const char *>(&value), sizeof value);
}

auto hasValidHeader(std::string_view bytes) -> bool
{
    if (bytes.size() < headerBytes)
        return false;
    const auto header = readAs<BatchHeader>(bytes);
    return header.magic == batchMagic && header.headerChecksum == checksumOf(header)
           && header.bodyBytes <= maximumBatchBytes;
}

auto hasValidBody(std::string_view bytes) -> bool
{
    const auto header = readAs<BatchHeader>(bytes);
    if (bytes.size() < headerBytes + header.bodyBytes)
        return false;
    const auto body = bytes.substr(headerBytes, header.bodyBytes);
    return XXH3_64bits(body.data(), body.size()) == header.bodyChecksum;
}

// A crash can leave sectors of a file unwritten, which then read as zeros.
auto hasZeroSector(std::string_view bytes, std::uint64_t offset) -> bool
{
    while (!bytes.empty()) {
        const auto piece = bytes.substr(0, sectorBytes - offset % sectorBytes);
        if (std::ranges::all_of(piece, [](char byte) { return byte == 0; }))
            return true;
        offset += piece.size();
        bytes.remove_prefix(piece.size());
    }
    return false;
}

// Returns whether a complete batch follows the first byte. Batches are synced one by one, so that
// only the last one can be torn.
auto completeBatchFollows(std::string_view bytes) -> bool
{
    const auto magic = std::string_view(reinterpret_cast<const char *>(&batchMagic), 4);
    for (auto at = bytes.find(magic, 1); at != bytes.npos; at = bytes.find(magic, at + 1)) {
        const auto rest = bytes.substr(at);
        if (hasValidHeader(rest) && hasValidBody(rest))
            return true;
    }
    return false;
}

auto classifyInvalidBatch(std::string_view bytes, std::uint64_t offset) -> BatchState
{
    if (completeBatchFollows(bytes))
        return BatchState::Damaged;
    auto expectedBytes = std::uint64_t(headerBytes);
    if (hasValidHeader(bytes))
        expectedBytes += readAs<BatchHeader>(bytes).bodyBytes;
    if (bytes.size() < expectedBytes)
        return BatchState::Torn;
    return hasZeroSector(bytes.substr(0, expectedBytes), offset) ? BatchState::Torn
                                                                 : BatchState::Damaged;
}

} // namespace

auto encodeBatch(std::span<const LogRecord> records) -> std::string
{
    std::string batch(headerBytes, '\0');
    for (const auto &record : records) {
        appendAs(
            batch,
            RecordHeader{
                record.revision, record.term, record.kind, std::uint32_t(record.payload.size())});
        batch += record.payload;
    }
    BatchHeader header;
    header.recordCount = std::uint32_t(records.size());
    header.bodyBytes = batch.size() - headerBytes;
    header.bodyChecksum = XXH3_64bits(batch.data() + headerBytes, header.bodyBytes);
    header.headerChecksum = checksumOf(header);
    std::memcpy(batch.data(), &header, headerBytes);
    return batch;
}

auto decodeBatch(std::string_view bytes, std::uint64_t offset) -> DecodedBatch
{
    if (!hasValidHeader(bytes) || !hasValidBody(bytes))
        return {classifyInvalidBatch(bytes, offset), 0, {}};
    const auto header = readAs<BatchHeader>(bytes);
    DecodedBatch batch;
    batch.size = headerBytes + header.bodyBytes;
    auto body = bytes.substr(headerBytes, header.bodyBytes);
    for (std::uint32_t index = 0; index < header.recordCount; ++index) {
        const auto record = readAs<RecordHeader>(body);
        body.remove_prefix(sizeof record);
        batch.records.push_back({record.revision,
                                 record.term,
                                 record.kind,
                                 std::string(body.substr(0, record.payloadBytes))});
        body.remove_prefix(record.payloadBytes);
    }
    return batch;
}

} // namespace Store
