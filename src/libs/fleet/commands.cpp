#include "commands.h"

#include "utils/cbor.h"
#include "utils/ids.h"

namespace Fleet {
namespace {

using Utils::ErrorType;

// The fields of a Command other than its body.
struct CommandHeader
{
    std::string id;
    std::string actor;
    std::string cause;
    WallTimeMs timeMs = 0;
    std::optional<Revision> expectedRevision;
    std::string type;
    Utils::Json body;
};

template <typename Archive>
auto describe(Archive &archive, CommandHeader &header) -> void
{
    archive.required("id", header.id);
    archive.required("actor", header.actor);
    archive.optional("cause", header.cause);
    archive.required("time_ms", header.timeMs);
    archive.optional("expected_revision", header.expectedRevision);
    archive.required("type", header.type);
    archive.required("body", header.body);
}

template <std::size_t Index = 0>
auto decodeBody(std::string_view type, const Utils::Json &json) -> Utils::Result<CommandBody>
{
    if constexpr (Index == std::variant_size_v<CommandBody>) {
        return Utils::failure(ErrorType::InvalidInput, "unknown command type", std::string(type));
    } else {
        using Body = std::variant_alternative_t<Index, CommandBody>;
        if (type != Body::typeName)
            return decodeBody<Index + 1>(type, json);
        BOOST_OUTCOME_TRY(body, Utils::fromJson<Body>(json));
        return CommandBody(std::move(body));
    }
}

} // namespace

auto commandTypeName(const CommandBody &body) -> std::string_view
{
    return std::visit([](const auto &command) { return command.typeName; }, body);
}

auto keepsResult(const CommandBody &body) -> bool
{
    return std::visit(
        [](const auto &command) {
            using Body = std::decay_t<decltype(command)>;
            if constexpr (requires { Body::resultKept; })
                return Body::resultKept;
            else
                return true;
        },
        body);
}

auto digestOf(const CommandBody &body) -> std::string
{
    // Replicas store digests, so those of different versions have to agree on the bytes.
    std::string content;
    Utils::Json::to_cbor(
        std::visit([](const auto &command) { return Utils::toJson(command); }, body), content);
    return Utils::sha256Hex(std::string(commandTypeName(body)) + '\n' + content);
}

auto CommandResult::refused(const Utils::Error &error, Revision revision) -> CommandResult
{
    CommandResult result;
    result.accepted = false;
    result.errorType = Utils::errorTypeName(error.type);
    result.message = error.message;
    result.details = error.details;
    result.revision = revision;
    return result;
}

auto encodeCommand(const Command &command) -> std::string
{
    CommandHeader header{
        command.id,
        command.actor,
        command.cause,
        command.timeMs,
        command.expectedRevision,
        std::string(commandTypeName(command.body)),
        std::visit([](const auto &body) { return Utils::toJson(body); }, command.body)};
    return Utils::toCbor(header);
}

auto decodeCommand(std::string_view bytes) -> Utils::Result<Command>
{
    BOOST_OUTCOME_TRY(header, Utils::fromCbor<CommandHeader>(bytes));
    BOOST_OUTCOME_TRY(body, decodeBody(header.type, header.body));
    return Command{std::move(header.id),
                   std::move(header.actor),
                   std::move(header.cause),
                   header.timeMs,
                   header.expectedRevision,
                   std::move(body)};
}

} // namespace Fleet
