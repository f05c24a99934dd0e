#pragma once

#include "segmentlog.h"

namespace Store {

enum class BatchState {
    Complete,
    Torn,    //!< The write was not finished; only possible at the end of the log.
    Damaged, //!< Bytes changed after they were written.
};

struct DecodedBatch
{
    BatchState state = BatchState::Complete;
    std::uint64_t size = 0;
    std::vector<LogRecord> records;
};

/*! \brief Returns \a records as one batch with checksums. */
auto encodeBatch(std::span<const LogRecord> records) -> std::string;

/*!
    \brief Reads the batch at the start of \a bytes, which stand at \a offset in their file.

    A batch that is cut short, or that has a sector of zeros, counts as torn unless a
    complete batch follows it.
*/
auto decodeBatch(std::string_view bytes, std::uint64_t offset) -> DecodedBatch;

} // namespace Store
