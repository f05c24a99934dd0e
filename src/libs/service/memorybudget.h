#pragma once

#include <cstdint>

namespace Service {

/*! \brief Bytes that messages of each kind of sender may hold within one process. */
struct MemoryBudget
{
    std::int64_t clients = 0;     //!< Requests and responses of all HTTP listeners.
    std::int64_t links = 0;       //!< Frames of entry processes and other control processes.
    std::int64_t replication = 0; //!< Messages of the replicated log.
};

/*!
    \brief Divides the memory of a host, given in MiB, among the senders of messages.

    Clients that aren't controlled could otherwise take the memory that the state needs, and a crowd of them that of
    the other processes. Half of the memory is left to the state and to what is made of a message.
*/
auto divideMemory(std::int64_t memoryMb) -> MemoryBudget;

} // namespace Service
