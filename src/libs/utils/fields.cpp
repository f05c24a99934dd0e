#include "fields.h"

namespace Utils {

auto describeErrors(std::span<const FieldError> errors) -> std::string
{
    std::string text;
    for (const auto &error : errors) {
        if (!text.empty())
            text += '\n';
        text += (error.path.empty() ? "document" : error.path) + ": " + error.reason;
    }
    return text;
}

auto parseJsonText(std::string_view text, bool withComments) -> Result<Json>
{
    try {
        return Json::parse(text, nullptr, true, withComments);
    } catch (const Json::exception &exception) {
        return failure(ErrorType::InvalidInput, "the text is not valid JSON", exception.what());
    }
}

auto parseSecretJsonText(std::string_view text) -> Result<Json>
{
    try {
        return Json::parse(text);
    } catch (const Json::parse_error &error) {
        return failure(ErrorType::InvalidInput,
                       "the text is not valid JSON",
                       "is not valid JSON at byte " + std::to_string(error.byte));
    } catch (const Json::exception &) {
        return failure(ErrorType::InvalidInput,
                       "the text is not valid JSON",
                       "has a value that cannot be read");
    }
}

} // namespace Utils
