#pragma once

#include "segmentlog.h"

namespace Store {

enum class BatchState {
    Complete,
    Torn,    //!< The write was not completed; only possible at the end of the log.
    Damaged, //!< The bytes were changed after they had been written.
};

struct DecodedBatch
{
    BatchState state = BatchState::Complete;
    std::uint64_t size = 0;
    std::vector<LogRecord> records;
};

/*! \brief Returns \a records encoded as one batch with checksums. */
auto encodeBatch(std::span<const LogRecord> records) -> std::string;

/*!
    \brief Decodes the batch at the start of \a bytes, which begin at \a offset in their file.

    An invalid batch that is truncated or contains a sector of zeros is classified as torn, unless a
    complete batch follows it.
*/
auto decodeBatch(std::string_view bytes, std::uint64_t offset) -> DecodedBatch;

} // namespace Store
