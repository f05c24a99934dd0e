#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

namespace Utils {

/*! \brief Types of failure that the system's interfaces report. */
enum class ErrorType {
    InvalidInput,   //!< The input violates its schema or a range.
    NotFound,       //!< The named object does not exist.
    Forbidden,      //!< The caller is unknown or lacks permission.
    Unauthorized,   //!< The operator's token is missing or wrong.
    Conflict,       //!< The object has changed since the expected revision.
    Refused,        //!< A rule of the system forbids the command.
    LimitReached,   //!< A configured or contractual limit is reached.
    NotLeader,      //!< This process does not lead the replication group.
    NoQuorum,       //!< No majority of the voters is reachable; nothing was committed.
    OutcomeUnknown, //!< The operation may or may not have taken effect.
    Timeout,        //!< The deadline passed; nothing took effect.
    Unavailable,    //!< No endpoint or peer can serve the request at present.
    IoFailure,      //!< A file or network operation failed.
    Corruption,     //!< Stored data fails its checksum.
    ShuttingDown,   //!< The process is stopping.
    Mismatch,       //!< A key or command id was sent again with different content.
};

/*! \brief Returns the stable name of \a type used in JSON bodies and logs. */
auto errorTypeName(ErrorType type) -> std::string_view;

/*! \brief Returns the type whose stable name is \a name; OutcomeUnknown if there is none. */
auto errorTypeFromName(std::string_view name) -> ErrorType;

/*! \brief Typed failure with a human-readable message and optional details. */
struct Error
{
    ErrorType type = ErrorType::InvalidInput;
    std::string message;
    std::string details;
};

/*! \brief A value or a typed Error. */
template <typename T>
using Result =
    BOOST_OUTCOME_V2_NAMESPACE::result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/*! \brief Returns a failed Result of type \a type. */
inline auto failure(ErrorType type, std::string message, std::string details = {})
{
    return BOOST_OUTCOME_V2_NAMESPACE::failure(Error{type, std::move(message), std::move(details)});
}

inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace Utils
